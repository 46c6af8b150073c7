// A folder of a test's own, gone with it.
#pragma once
#include <cstdlib>
#include <filesystem>
#include <string>

namespace snowshore::testing {

struct Folder {
  std::string name;
  Folder() {
    char made[] = "/tmp/snowshore-test-XXXXXX";
    name = mkdtemp(made);
  }
  ~Folder() { std::filesystem::remove_all(name); }
};

} // namespace snowshore::testing
