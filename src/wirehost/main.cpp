// snowshore_wirehost: answers the simulator's lines on standard input with lines on standard output. A line
// that cannot be used ends the program with an error message and exit code 1.
#include "wirehost/host.h"

#include <exception>
#include <iostream>

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  snowshore::WireHost host;
  std::string line, reply;
  std::uint64_t line_number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++line_number;
      if (!host.process_line(line, reply)) continue;
      std::cout << reply << std::flush;
      reply.clear();
    }
  } catch (const std::exception &error) {
    std::cerr << "snowshore: input line " << line_number << ": " << error.what() << "\n";
    return 1;
  }
}
