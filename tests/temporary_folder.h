// A temporary folder that exists as long as its object.
#pragma once
#include <cstdlib>
#include <filesystem>
#include <string>

namespace snowshore::testing {

struct Folder {
  std::string name;
  Folder() {
    char path_template[] = "/tmp/snowshore-test-XXXXXX";
    name = mkdtemp(path_template);
  }
  ~Folder() { std::filesystem::remove_all(name); }
};

} // namespace snowshore::testing
