#include "management/rig.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <random>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace snowshore;
using namespace snowshore::testing;
using management::ChangeError;

namespace {

const char *const kOpenPlays = "/front/limits/open_plays";

std::size_t open_plays_in(const std::string &document) {
  return model::Json::parse(document)["snowshore:front"]["limits"]["open_plays"];
}

// This program again, for one hidden case, with a pipe back at descriptor 3. A fork alone would lack the
// store's threads.
struct Child {
  pid_t pid = 0;
  int from = -1;
  Child(const char *test, const std::string &what) {
    int ends[2];
    if (pipe(ends) != 0) throw std::runtime_error("no pipe");
    pid = fork();
    if (pid == 0) {
      dup2(ends[1], 3);
      close_range(4, ~0U, 0);
      setenv("SNOWSHORE_CHILD", what.c_str(), 1);
      execl("/proc/self/exe", "child", test, static_cast<char *>(nullptr));
      _exit(127);
    }
    close(ends[1]);
    from = ends[0];
  }
  ~Child() {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    close(from);
  }
  bool hear(void *into, std::size_t size) {
    auto at = static_cast<char *>(into);
    for (std::size_t got = 0; got < size;) {
      ssize_t n = read(from, at + got, size - got);
      if (n <= 0) return false;
      got += static_cast<std::size_t>(n);
    }
    return true;
  }
  bool hear(std::string &text) {
    std::uint32_t size = 0;
    if (!hear(&size, sizeof size)) return false;
    text.resize(size);
    return hear(text.data(), size);
  }
};

void tell(const std::string &text) { // a child, its parent
  auto size = static_cast<std::uint32_t>(text.size());
  std::string all(reinterpret_cast<const char *>(&size), sizeof size);
  all += text;
  if (write(3, all.data(), all.size()) != static_cast<ssize_t>(all.size())) _exit(1);
}

std::vector<std::string> asked() {
  std::vector<std::string> out(1);
  for (char c : std::string(std::getenv("SNOWSHORE_CHILD") ? std::getenv("SNOWSHORE_CHILD") : "")) {
    if (c == '|')
      out.emplace_back();
    else
      out.back() += c;
  }
  return out;
}

enum Point { before_the_write, after_the_write, after_applying, before_the_answer, after_the_answer };

} // namespace

TEST_CASE("(child) one set, killed at a point", "[.one-set]") {
  auto what = asked();
  int point = std::stoi(what.at(1));
  auto die = [] { kill(getpid(), SIGKILL); };
  Rig rig(what[0]);
  if (point == before_the_write) rig.front.before_check = die;
  if (point == after_the_write) rig.front.before_change = die;
  if (point == after_applying) rig.front.after_change = die;
  bool taken = rig.set(kOpenPlays, 200, what.at(2) == "1" ? 0 : 60).error == ChangeError::none;
  if (point == before_the_answer) die();
  tell(taken ? "y" : "n");
  die();
}

TEST_CASE("(child) many sets", "[.many-sets]") { // told one by one, until it is killed
  auto what = asked();
  Rig rig(what[0]);
  std::minstd_rand mine(static_cast<unsigned>(std::stoul(what.at(1))));
  tell(rig.running_document());
  for (int i = 0; i < std::stoi(what.at(2)); ++i) {
    std::string before = rig.running_document();
    bool valid = mine() % 3 != 0;
    if (mine() % 7 == 0) rig.front.fails = "not now";
    auto answer = rig.set(mine() % 2 ? kOpenPlays : "/front/limits/connections",
                          valid ? model::Json(1 + mine() % 5000) : model::Json("x"));
    rig.front.fails.clear();
    if (answer.error != ChangeError::none && rig.running_document() != before)
      tell("a refused change left its mark");
    tell(answer.error == ChangeError::none ? rig.running_document() : "refused");
  }
}

TEST_CASE(
    "a process killed at each step of a commit leaves the old tree or the new one, whole; what was answered "
    "is there") {
  struct Row {
    Point point;
    bool may_be_old, may_be_new;
  };
  for (const Row &row : {Row{before_the_write, true, false}, Row{after_the_write, false, true},
                         Row{after_applying, false, true}, Row{before_the_answer, false, true},
                         Row{after_the_answer, false, true}}) {
    for (bool confirmed : {false, true}) {
      CAPTURE(row.point, confirmed);
      Folder folder;
      std::string old_tree;
      {
        Rig rig(folder.name);
        REQUIRE(rig.set(kOpenPlays, 100).error == ChangeError::none);
        old_tree = rig.running_document();
      }
      std::string answer;
      bool answered = false;
      {
        Child child("[.one-set]",
                    folder.name + "|" + std::to_string(row.point) + "|" + (confirmed ? "1" : "0"));
        answered = child.hear(answer);
        CHECK((!answered || answer == "y"));
        std::string more;
        child.hear(more); // until it is dead
      }
      CHECK(answered == (row.point == after_the_answer));
      Rig rig(folder.name);
      std::string tree = rig.running_document();
      bool is_old = tree == old_tree, is_new = open_plays_in(tree) == 200;
      CHECK((is_old || is_new));
      CHECK((!is_old || row.may_be_old));
      CHECK((!is_new || row.may_be_new));
      CHECK(rig.front.open_plays == open_plays_in(tree)); // what runs is what is told
      CHECK((rig.manager.running_config()->confirm_deadline > 0) == (is_new && !confirmed));
    }
  }
}

TEST_CASE("240 changes from a seed, valid and not, with kills: what is read is what was last accepted") {
  Folder folder;
  std::minstd_rand chance(7);
  std::string expected;
  std::uint64_t refused = 0, kills = 0, differ = 0;
  for (int done = 0; done < 240;) {
    int part = std::min(240 - done, 20);
    Child child("[.many-sets]", folder.name + "|" + std::to_string(chance()) + "|" + std::to_string(part));
    int heard = 0, until = static_cast<int>(chance() % static_cast<unsigned>(part));
    std::string text, at_start;
    REQUIRE(child.hear(at_start));
    // The kill may have come between the durable write and its being told.
    if (!expected.empty() && at_start != expected) {
      auto history = store::Store::read_history_read_only(folder.name);
      std::string before = history[history.size() - 2].document;
      differ += before != expected && history.back().user == "ana";
    }
    expected = at_start;
    bool killed = false;
    while (child.hear(text)) {
      ++heard;
      REQUIRE(text != "a refused change left its mark");
      if (text == "refused")
        ++refused;
      else
        expected = text;
      if (heard > until && !killed) kill(child.pid, SIGKILL), killed = true, ++kills;
    }
    done += std::max(1, heard);
  }
  CHECK(differ == 0);
  CHECK(kills >= 12);
  CHECK(refused > 50);
}

TEST_CASE("an unconfirmed change is undone in its time, also over a restart and with the clock set back") {
  Folder folder;
  std::string before;
  {
    Rig rig(folder.name);
    before = rig.running_document();
    REQUIRE(rig.set(kOpenPlays, 100, 2).error == ChangeError::none); // long enough for a machine under load
    CHECK(rig.set(kOpenPlays, 300).error == ChangeError::unconfirmed_change);
    auto left = rig.manager.roll_back_expired();
    CHECK((left && *left > 0 && *left <= 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(2050));
    rig.manager.roll_back_expired();
    CHECK(rig.running_document() == before);
    CHECK(rig.front.open_plays == 20000);
    REQUIRE(rig.set(kOpenPlays, 100, 0.1).error == ChangeError::none);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  {
    Rig rig(folder.name);
    CHECK(rig.running_document() == before);
    CHECK(rig.front.open_plays == 20000);
    REQUIRE(rig.set(kOpenPlays, 100, 60).error == ChangeError::none);
    auto answer = rig.manager.confirm(rig.manager.running_config()->revision, "ana");
    CHECK(answer.error == ChangeError::none);
    REQUIRE(rig.set(kOpenPlays, 200, 60).error == ChangeError::none);
    CHECK(rig.manager.cancel(rig.manager.running_config()->revision, "ana").error == ChangeError::none);
    CHECK(rig.front.open_plays == 100);
  }
  {
    store::Store store(folder.name, 1000); // as if the clock had been an hour ahead until now
    auto last = store.read_revisions().back();
    last.committed_at += 3600, last.confirm_deadline = last.committed_at + 0.3, last.revert_to = 1;
    store.append(last);
  }
  Rig rig(folder.name);
  CHECK(rig.manager.now() >= rig.manager.history().back().committed_at); // never before what was written
  CHECK(rig.manager.running_config()->confirm_deadline > 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(350));
  rig.manager.roll_back_expired();
  CHECK(rig.running_document() == before); // and no later than its own time after the start
}

TEST_CASE("refusals, each by its kind; the tree stays, byte for byte") {
  Folder folder;
  Rig rig(folder.name, "management: sets_waiting: 4");
  std::string before = rig.running_document();
  struct Row {
    const char *path;
    model::Json value;
    std::string refuses, fails;
    ChangeError error;
  };
  for (const Row &row :
       {Row{kOpenPlays, 0, "", "", ChangeError::invalid}, Row{"/front/none", 0, "", "", ChangeError::invalid},
        Row{"/front/name", "other", "", "", ChangeError::conflict},
        Row{kOpenPlays, 5, "7 plays are in hand", "", ChangeError::conflict},
        Row{kOpenPlays, 5, "", "the port is taken", ChangeError::apply_failed},
        Row{"/front/management/listen", "127.0.0.1:1", "", "", ChangeError::invalid},
        Row{"/front/products[name=film]/top", 7, "", "", ChangeError::invalid}}) {
    CAPTURE(row.path);
    rig.front.refuses = row.refuses, rig.front.fails = row.fails;
    auto answer = rig.set(row.path, row.value);
    CHECK(answer.error == row.error);
    CHECK_FALSE(answer.message.empty());
    CHECK(rig.running_document() == before);
    CHECK(rig.front.changes == 0);
  }
  rig.front.refuses = rig.front.fails = "";
  management::ConfigManager::Request stale{{}, "bo", "", rig.manager.running_config()->revision - 1, 0, ""};
  CHECK(rig.manager.set(stale).error == ChangeError::stale_revision);
  CHECK(rig.manager.roll_back(999, "bo").error == ChangeError::unknown_revision);
  CHECK(rig.manager.confirm(1, "bo").error == ChangeError::unknown_revision);
  CHECK(rig.set("/front/load/note_delay", "2").error == ChangeError::none);
  CHECK(rig.front.drained == 1);
  std::uint64_t revision = rig.manager.running_config()->revision;
  CHECK(rig.set("/front/load/note_delay", "2").revision == revision); // nothing changes, nothing is written
  rig.manager.attach(nullptr);
  CHECK(rig.set(kOpenPlays, 5).error == ChangeError::front_stopping);
}

TEST_CASE("sets wait their turn in bounded number; reads wait for none of them") {
  Folder folder;
  Rig rig(folder.name, "management: sets_waiting: 3");
  std::promise<void> go_on;
  auto held = go_on.get_future().share();
  rig.front.before_change = [&] { held.wait(); };
  std::vector<std::future<management::ChangeResult>> sets;
  for (int i = 0; i < 8; ++i)
    sets.push_back(std::async(std::launch::async, [&, i] { return rig.set(kOpenPlays, 1000 + i); }));
  int overloaded = 0;
  for (int tries = 0; tries < 400 && overloaded < 5; ++tries) {
    overloaded = 0;
    for (auto &set : sets)
      overloaded += set.wait_for(std::chrono::milliseconds(5)) == std::future_status::ready;
  }
  CHECK(overloaded == 5);
  CHECK(open_plays_in(rig.running_document()) == 20000); // read while one is under way
  CHECK_FALSE(rig.manager.state_json().empty());
  go_on.set_value();
  int taken = 0;
  for (auto &set : sets) taken += set.get().error == ChangeError::none;
  CHECK(taken == 3);
  CHECK(rig.front.open_plays == open_plays_in(rig.running_document()));
}

TEST_CASE("a full disk refuses sets, reads go on; with room again what is durable is in force") {
  Folder folder;
  Rig rig(folder.name);
  REQUIRE(rig.set(kOpenPlays, 100).error == ChangeError::none);
  signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  rlimit tight = before;
  tight.rlim_cur = 30000;
  setrlimit(RLIMIT_FSIZE, &tight);
  int taken = 0;
  management::ChangeResult answer;
  for (int i = 0; i < 100 && answer.error == ChangeError::none; ++i, ++taken)
    answer = rig.set(kOpenPlays, 200 + i);
  CHECK(answer.error == ChangeError::storage_failed);
  CHECK(open_plays_in(rig.running_document()) == static_cast<std::size_t>(200 + taken - 2));
  CHECK_FALSE(rig.manager.state_json().empty());
  setrlimit(RLIMIT_FSIZE, &before);
  CHECK(rig.set(kOpenPlays, 5000).error == ChangeError::none);
  CHECK(rig.front.open_plays == 5000);
  CHECK(rig.store.read_revisions().back().document == rig.running_document());
}

TEST_CASE("the record's files: read again, and changed between two starts") {
  Folder folder;
  {
    Rig rig(folder.name);
    REQUIRE(rig.set(kOpenPlays, 100).error == ChangeError::none);
  }
  {
    Rig rig(folder.name); // the same files: what was set stays
    CHECK(rig.front.open_plays == 100);
    REQUIRE(rig.set(kOpenPlays, 150, 60).error == ChangeError::none);
  }
  {
    Rig rig(folder.name,
            "name: \"edge-1\"\nlimits: connections: 77\nhall: \"north\""); // other files: they hold
    CHECK(rig.front.open_plays == 20000);
    CHECK(rig.manager.running_config()->confirm_deadline == 0);
    CHECK(rig.manager.history().back().user == "files");
    CHECK(rig.manager.apply_files(front_record("limits: open_plays: 9"), "SIGHUP").error ==
          ChangeError::conflict);
    CHECK(rig.manager.apply_files(front_record("hall: \"north\"\nlimits: open_plays: 9"), "SIGHUP").error ==
          ChangeError::none);
    CHECK(rig.front.open_plays == 9);
  }
  Rig rig(folder.name, "hall: \"north\"\nlimits: open_plays: 9");
  CHECK(rig.manager.history().back().user == "SIGHUP"); // no news in them
}
