#include "store/store.h"
#include "temporary_folder.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace snowshore;
using store::Store;
using store::StoreError;
using testing::Folder;

namespace {

management::Revision revision(std::uint64_t number, const std::string &document = "{}") {
  return {number, document, "ana", "test \"quoted\"", 12.5, 0, number - 1, ""};
}

} // namespace

TEST_CASE("a reopened store has the newest revisions and the last form of a revision written twice") {
  Folder folder;
  {
    Store store(folder.name, 20);
    for (std::uint64_t i = 1; i <= 50; ++i) store.append(revision(i, "doc" + std::to_string(i)));
    management::Revision last = revision(50, "again");
    last.confirm_deadline = 99;
    store.append(last);
    store.put_position("noc", 17);
    CHECK_THROWS_AS(Store(folder.name, 20), StoreError);            // A second owner is rejected.
    CHECK(Store::read_history_read_only(folder.name).size() == 20); // A reader is not.
  }
  Store store(folder.name, 20);
  auto history = store.read_revisions();
  REQUIRE(history.size() == 20);
  CHECK(history.front().number == 31);
  CHECK(history.back().document == "again");
  CHECK(history.back().confirm_deadline == 99);
  CHECK(history.back().cause == "test \"quoted\"");
  CHECK(store.positions() == std::map<std::string, std::uint64_t>{{"noc", 17}});
  CHECK(store.get_text("records").empty());
}

TEST_CASE("a store opened with a smaller limit deletes the older revisions") {
  Folder folder;
  {
    Store store(folder.name, 50);
    for (std::uint64_t i = 1; i <= 40; ++i) store.append(revision(i));
  }
  Store store(folder.name, 12);
  REQUIRE(store.read_revisions().size() == 12);
  store.append(revision(41));
  CHECK(store.read_revisions().size() == 12);
  CHECK(store.read_revisions().front().number == 30);
}

TEST_CASE("after a kill during writes, every append that had returned is there and none is missing between") {
  for (int round = 0; round < 5; ++round) {
    Folder folder;
    int pipe_ends[2];
    REQUIRE(pipe(pipe_ends) == 0);
    pid_t child = fork();
    if (child == 0) {
      Store store(folder.name, 1000);
      for (std::uint64_t i = 1; i < 100000; ++i) {
        store.append(revision(i, std::string(3000, static_cast<char>('a' + i % 26))));
        if (write(pipe_ends[1], &i, sizeof i) != sizeof i) _exit(1);
      }
      _exit(0);
    }
    close(pipe_ends[1]);
    std::uint64_t returned = 0;
    std::uint64_t until = static_cast<std::uint64_t>(3 + round * 7);
    while (returned < until && read(pipe_ends[0], &returned, sizeof returned) == sizeof returned) {
    }
    kill(child, SIGKILL);
    for (std::uint64_t next; read(pipe_ends[0], &next, sizeof next) == sizeof next;) returned = next;
    close(pipe_ends[0]);
    waitpid(child, nullptr, 0);
    Store store(folder.name, 1000);
    auto history = store.read_revisions();
    CAPTURE(round, returned);
    CHECK(history.size() >= returned);
    CHECK(history.size() <= returned + 1);
    CHECK(history.back().document == std::string(3000, static_cast<char>('a' + history.back().number % 26)));
  }
}

TEST_CASE("on a full disk a write fails with its name; with space again the store continues after reopen") {
  Folder folder;
  Store store(folder.name, 1000);
  store.append(revision(1));
  signal(SIGXFSZ, SIG_IGN); // A limit on the file size simulates a full disk.
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  rlimit limited = before;
  limited.rlim_cur = 20000;
  setrlimit(RLIMIT_FSIZE, &limited);
  std::uint64_t written = 1;
  std::string message;
  try {
    for (; written < 100; ++written) store.append(revision(written + 1, std::string(3000, 'x')));
  } catch (const StoreError &error) {
    message = error.what();
  }
  setrlimit(RLIMIT_FSIZE, &before);
  CHECK(message.find("writing a revision") != std::string::npos);
  store.reopen();
  auto history = store.read_revisions();
  CHECK(history.size() >= written);
  CHECK(history.size() <= written + 1);
  store.append(revision(history.back().number + 1));
  CHECK(store.read_revisions().size() == history.size() + 1);
}

TEST_CASE("a history with a gap and a damaged database are errors") {
  Folder folder;
  {
    Store store(folder.name, 1000);
    for (std::uint64_t i : {1, 2, 4}) store.append(revision(i));
    CHECK_THROWS_WITH(store.read_revisions(), Catch::Contains("lacks revision 3"));
  }
  std::ofstream(folder.name + "/CURRENT") << "nothing\n";
  CHECK_THROWS_AS(Store(folder.name, 1000), StoreError);
}
