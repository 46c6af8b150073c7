// The list source that reads record files, in two variants: one watches them with inotify, one polls them.
#include "edge/list_source.h"
#include "config/front_config.h"
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

// The events by which a file in a watched folder gets new contents, appears or disappears.
constexpr std::uint32_t kWatchedEvents = IN_CLOSE_WRITE | IN_MOVED_TO | IN_CREATE | IN_DELETE | IN_MOVED_FROM;

// Seconds between two polls of the files.
constexpr double kPollInterval = 0.1;

// The folders of both files, each once.
std::set<std::string> folders_of(const std::string &list, const std::string &catalogue) {
  std::set<std::string> folders;
  for (const std::string &file : {list, catalogue}) {
    auto folder = std::filesystem::path(file).parent_path().string();
    folders.insert(folder.empty() ? "." : folder);
  }
  return folders;
}

// Reads the two files and reports their contents. The derived class decides when to read them again.
class FileSource : public ListSource {
 public:
  FileSource(asio::io_context &io, std::string list, std::string catalogue)
      : io_(io), list_path_(std::move(list)), catalogue_path_(std::move(catalogue)) {}

  void start(Events events) override {
    events_ = std::move(events);
    asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired()) return;
      read_catalogue_file();
      read_list_file();
      wait_for_change();
    });
  }

  void request_list() override {
    asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) read_list_file();
    });
  }

 protected:
  // Waits for the next change, reads what has changed, and waits again.
  virtual void wait_for_change() = 0;

  void read_list_file() {
    try {
      events_.list(parse_server_list(list_path_, records::load_file(list_path_).text));
    } catch (const records::RecordError &error) {
      events_.unavailable(error.what());
    }
  }

  void read_catalogue_file() {
    try {
      events_.catalogue(parse_catalogue(catalogue_path_, records::load_file(catalogue_path_).text));
    } catch (const records::RecordError &error) {
      events_.unavailable(error.what());
    }
  }

  asio::io_context &io_;
  std::string list_path_, catalogue_path_;
  Events events_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class WatchedFileSource final : public FileSource {
 public:
  WatchedFileSource(asio::io_context &io, const std::string &list, const std::string &catalogue)
      : FileSource(io, list, catalogue), stream_(io) {
    int fd = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    if (fd < 0)
      throw std::system_error(errno, std::system_category(),
                              "cannot create an inotify instance for the server list");
    stream_.assign(fd);
    for (const std::string &folder : folders_of(list, catalogue)) {
      if (inotify_add_watch(fd, folder.c_str(), kWatchedEvents) < 0)
        throw std::system_error(errno, std::system_category(), "cannot watch the folder " + folder);
    }
  }

 private:
  void wait_for_change() override {
    stream_.async_read_some(asio::buffer(buffer_), [this, alive = std::weak_ptr<bool>(alive_)](
                                                       asio::error_code error, std::size_t size) {
      if (alive.expired() || error) return;
      bool list = false, catalogue = false;
      for (std::size_t at = 0; at + sizeof(inotify_event) <= size;) {
        inotify_event event;
        std::memcpy(&event, buffer_.data() + at, sizeof event);
        std::string name = event.len ? std::string(buffer_.data() + at + sizeof event) : "";
        // The queue overflowed and events were dropped, so both files are read again.
        bool overflowed = (event.mask & IN_Q_OVERFLOW) != 0;
        list = list || overflowed || name == std::filesystem::path(list_path_).filename();
        catalogue = catalogue || overflowed || name == std::filesystem::path(catalogue_path_).filename();
        at += sizeof event + event.len;
      }
      if (catalogue) read_catalogue_file();
      if (list) read_list_file();
      wait_for_change();
    });
  }

  asio::posix::stream_descriptor stream_;
  alignas(inotify_event) std::array<char, 16384> buffer_;
};

// Polls the inode, size and modification time of both files; a missing file has zeros.
class PolledFileSource final : public FileSource {
 public:
  PolledFileSource(asio::io_context &io, const std::string &list, const std::string &catalogue)
      : FileSource(io, list, catalogue), timer_(io) {
    for (const std::string &folder : folders_of(list, catalogue)) {
      if (!std::filesystem::is_directory(folder))
        throw std::system_error(ENOENT, std::system_category(), "cannot watch the folder " + folder);
    }
    has_changed(list_path_, list_stamp_);
    has_changed(catalogue_path_, catalogue_stamp_);
  }
  bool is_polling() const override { return true; }

 private:
  struct FileStamp {
    ino_t inode = 0;
    off_t size = 0;
    timespec modified{};
    bool operator==(const FileStamp &other) const {
      return inode == other.inode && size == other.size && modified.tv_sec == other.modified.tv_sec &&
             modified.tv_nsec == other.modified.tv_nsec;
    }
  };

  // Returns whether the file differs from the last poll, and keeps the new stamp.
  static bool has_changed(const std::string &name, FileStamp &last) {
    struct stat info {};
    FileStamp next;
    if (stat(name.c_str(), &info) == 0) next = {info.st_ino, info.st_size, info.st_mtim};
    return !(std::exchange(last, next) == next);
  }

  void wait_for_change() override {
    timer_.expires_after(telemetry::to_timer_duration(kPollInterval));
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
      if (alive.expired() || error) return;
      if (has_changed(catalogue_path_, catalogue_stamp_)) read_catalogue_file();
      if (has_changed(list_path_, list_stamp_)) read_list_file();
      wait_for_change();
    });
  }

  asio::steady_timer timer_;
  FileStamp list_stamp_, catalogue_stamp_;
};

} // namespace

ServerList parse_server_list(const std::string &name, const std::string &text) {
  records::Source files[] = {{name, text}};
  records::Record record = records::read(files, config::front_schema(), "#List");
  ServerList result;
  result.version = static_cast<std::uint64_t>(record.number("version"));
  std::set<std::string> ids;
  records::Diagnostics errors;
  for (const records::Record &item : record.items("servers")) {
    ListedServer server;
    server.id = item.text("id");
    server.hall = item.text("hall");
    server.kind = item.text("kind");
    server.cell = item.integer("cell");
    server.weight = item.number("weight");
    server.started_at = item.number("started");
    std::string status = item.text("standing");
    server.status = status == "active"    ? ServerStatus::active
                    : status == "leaving" ? ServerStatus::leaving
                                          : ServerStatus::left;
    try {
      server.address = config::parse_endpoint(item.text("address"));
    } catch (const std::invalid_argument &error) {
      errors.push_back({item.at("address").value().location, item.path() + ".address", "an address and port",
                        error.what()});
    }
    if (!ids.insert(server.id).second)
      errors.push_back({item.at("id").value().location, item.path() + ".id",
                        "an id that no other server of the list has", server.id});
    result.servers.push_back(std::move(server));
  }
  if (!errors.empty()) throw records::RecordError(std::move(errors));
  return result;
}

Catalogue parse_catalogue(const std::string &name, const std::string &text) {
  records::Source files[] = {{name, text}};
  records::Record record = records::read(files, config::front_schema(), "#Catalogue");
  Catalogue result;
  for (const auto &[title, cells] : record.at("titles").fields())
    result[title] = {cells.integer("cell"), cells.integer("cells")};
  return result;
}

std::unique_ptr<ListSource> watch_files(asio::io_context &io, const std::string &list,
                                        const std::string &catalogue) {
  try {
    return std::make_unique<WatchedFileSource>(io, list, catalogue);
  } catch (const std::system_error &error) {
    // The user's limit of inotify instances or watches is reached, as with many front ends on one machine.
    if (error.code().value() != EMFILE && error.code().value() != ENOSPC) throw;
    return poll_files(io, list, catalogue);
  }
}

std::unique_ptr<ListSource> poll_files(asio::io_context &io, const std::string &list,
                                       const std::string &catalogue) {
  return std::make_unique<PolledFileSource>(io, list, catalogue);
}

} // namespace snowshore::edge
