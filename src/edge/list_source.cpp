#include "edge/list_source.h"
#include "site/front_record.h"
#include "telemetry/loop_clock.h"

#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <set>
#include <system_error>
#include <utility>

namespace snowshore::edge {

namespace {

constexpr std::uint32_t kWatched = IN_CLOSE_WRITE | IN_MOVED_TO | IN_CREATE | IN_DELETE | IN_MOVED_FROM;

constexpr double kPollEvery = 0.1; // seconds, where the system has no watch to give

std::set<std::string> folders_of(const std::string &list, const std::string &catalogue) {
  std::set<std::string> folders;
  for (const std::string &file : {list, catalogue}) {
    auto folder = std::filesystem::path(file).parent_path().string();
    folders.insert(folder.empty() ? "." : folder);
  }
  return folders;
}

// The two files read and told of; when to read again is the derived class's.
class Files : public ListSource {
 public:
  Files(asio::io_context &io, std::string list, std::string catalogue)
      : io_(io), list_(std::move(list)), catalogue_(std::move(catalogue)) {}

  void start(Events events) override {
    events_ = std::move(events);
    asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired()) return;
      read_catalogue_file();
      read_list_file();
      wait();
    });
  }

  void request_list() override {
    asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) read_list_file();
    });
  }

 protected:
  virtual void wait() = 0; // for the next change; reads what has changed, then waits again

  void read_list_file() {
    try {
      events_.list(parse_server_list(list_, records::load_file(list_).text));
    } catch (const records::RecordError &error) {
      events_.unavailable(error.what());
    }
  }

  void read_catalogue_file() {
    try {
      events_.catalogue(parse_catalogue(catalogue_, records::load_file(catalogue_).text));
    } catch (const records::RecordError &error) {
      events_.unavailable(error.what());
    }
  }

  asio::io_context &io_;
  std::string list_, catalogue_;
  Events events_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class WatchedFiles final : public Files {
 public:
  WatchedFiles(asio::io_context &io, const std::string &list, const std::string &catalogue)
      : Files(io, list, catalogue), stream_(io) {
    int fd = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    if (fd < 0) throw std::system_error(errno, std::system_category(), "cannot watch the server list");
    stream_.assign(fd);
    for (const std::string &folder : folders_of(list, catalogue)) {
      if (inotify_add_watch(fd, folder.c_str(), kWatched) < 0)
        throw std::system_error(errno, std::system_category(), "cannot watch the folder " + folder);
    }
  }

 private:
  void wait() override {
    stream_.async_read_some(asio::buffer(buffer_), [this, alive = std::weak_ptr<bool>(alive_)](
                                                       asio::error_code error, std::size_t size) {
      if (alive.expired() || error) return;
      bool list = false, catalogue = false;
      for (std::size_t at = 0; at + sizeof(inotify_event) <= size;) {
        inotify_event event;
        std::memcpy(&event, buffer_.data() + at, sizeof event);
        std::string name = event.len ? std::string(buffer_.data() + at + sizeof event) : "";
        bool lost = (event.mask & IN_Q_OVERFLOW) != 0; // events were dropped: both are read anew
        list = list || lost || name == std::filesystem::path(list_).filename();
        catalogue = catalogue || lost || name == std::filesystem::path(catalogue_).filename();
        at += sizeof event + event.len;
      }
      if (catalogue) read_catalogue_file();
      if (list) read_list_file();
      wait();
    });
  }

  asio::posix::stream_descriptor stream_;
  alignas(inotify_event) std::array<char, 16384> buffer_;
};

// Looks at both files' stamps; a file that is gone has none.
class PolledFiles final : public Files {
 public:
  PolledFiles(asio::io_context &io, const std::string &list, const std::string &catalogue)
      : Files(io, list, catalogue), timer_(io) {
    for (const std::string &folder : folders_of(list, catalogue)) {
      if (!std::filesystem::is_directory(folder))
        throw std::system_error(ENOENT, std::system_category(), "cannot watch the folder " + folder);
    }
    changed(list_, list_stamp_), changed(catalogue_, catalogue_stamp_);
  }
  bool is_polling() const override { return true; }

 private:
  struct Stamp {
    ino_t file = 0;
    off_t size = 0;
    timespec written{};
    bool operator==(const Stamp &o) const {
      return file == o.file && size == o.size && written.tv_sec == o.written.tv_sec &&
             written.tv_nsec == o.written.tv_nsec;
    }
  };

  static bool changed(const std::string &name, Stamp &last) {
    struct stat now {};
    Stamp next;
    if (stat(name.c_str(), &now) == 0) next = {now.st_ino, now.st_size, now.st_mtim};
    return !(std::exchange(last, next) == next);
  }

  void wait() override {
    timer_.expires_after(telemetry::to_timer_duration(kPollEvery));
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
      if (alive.expired() || error) return;
      if (changed(catalogue_, catalogue_stamp_)) read_catalogue_file();
      if (changed(list_, list_stamp_)) read_list_file();
      wait();
    });
  }

  asio::steady_timer timer_;
  Stamp list_stamp_, catalogue_stamp_;
};

} // namespace

ServerList parse_server_list(const std::string &name, const std::string &text) {
  records::Source files[] = {{name, text}};
  records::Record record = records::read(files, site::front_schema(), "#List");
  ServerList out;
  out.version = static_cast<std::uint64_t>(record.number("version"));
  std::set<std::string> ids;
  records::Diagnostics faults;
  for (const records::Record &one : record.items("servers")) {
    ListedServer server;
    server.id = one.text("id");
    server.hall = one.text("hall"), server.kind = one.text("kind");
    server.cell = one.integer("cell");
    server.weight = one.number("weight"), server.started_at = one.number("started");
    std::string standing = one.text("standing");
    server.status = standing == "active"    ? ServerStatus::active
                    : standing == "leaving" ? ServerStatus::leaving
                                            : ServerStatus::left;
    try {
      server.address = site::parse_endpoint(one.text("address"));
    } catch (const std::invalid_argument &error) {
      faults.push_back(
          {one.at("address").value().location, one.path() + ".address", "an address and port", error.what()});
    }
    if (!ids.insert(server.id).second)
      faults.push_back({one.at("id").value().location, one.path() + ".id",
                        "an id that stands once in the list", server.id});
    out.servers.push_back(std::move(server));
  }
  if (!faults.empty()) throw records::RecordError(std::move(faults));
  return out;
}

Catalogue parse_catalogue(const std::string &name, const std::string &text) {
  records::Source files[] = {{name, text}};
  records::Record record = records::read(files, site::front_schema(), "#Catalogue");
  Catalogue out;
  for (const auto &[title, place] : record.at("titles").fields())
    out[title] = {place.integer("cell"), place.integer("cells")};
  return out;
}

std::unique_ptr<ListSource> watch_files(asio::io_context &io, const std::string &list,
                                        const std::string &catalogue) {
  try {
    return std::make_unique<WatchedFiles>(io, list, catalogue);
  } catch (const std::system_error &error) {
    // Many fronts of one user on a machine: the system's watches are all given out.
    if (error.code().value() != EMFILE && error.code().value() != ENOSPC) throw;
    return poll_files(io, list, catalogue);
  }
}

std::unique_ptr<ListSource> poll_files(asio::io_context &io, const std::string &list,
                                       const std::string &catalogue) {
  return std::make_unique<PolledFiles>(io, list, catalogue);
}

} // namespace snowshore::edge
