// The simulator adapter: runs decision engines for the simulator. Reads one JSON message per line from
// standard input until it ends, and writes each reply as one line to standard output.
#include <exception>
#include <iostream>
#include <string>

#include "adapter/simulator_host.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  quota_gateway::wire::SimulatorHost host;
  std::string line;
  try {
    while (std::getline(std::cin, line)) {
      if (const auto reply = host.process_line(line)) std::cout << *reply << '\n' << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "simulator_adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
