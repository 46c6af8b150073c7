#include "wirehost/host.h"

#include <exception>
#include <iostream>

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  snowshore::Host host;
  std::string line, reply;
  std::uint64_t number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++number;
      if (!host.take(line, reply)) continue;
      std::cout << reply << std::flush;
      reply.clear();
    }
  } catch (const std::exception &error) {
    std::cerr << "snowshore: input line " << number << ": " << error.what() << "\n";
    return 1;
  }
}
