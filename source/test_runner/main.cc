// Runs the tests of a test program, except those that KNOWN-RED.txt lists.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>
#include <CppUTest/Utest.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace {

// Names the file with the tests to leave out; unset runs every test.
constexpr char kKnownRedVariable[] = "MIMOSADEAL_KNOWN_RED";

// Returns the names ("Group.Name") in the file's lines "test: Group.Name".
std::set<std::string> ReadKnownRed(const std::string& path) {
  std::set<std::string> names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string key;
    std::string name;
    if (words >> key >> name && key == "test:") names.insert(name);
  }
  return names;
}

std::string NameOf(const UtestShell& test) {
  return std::string(test.getGroup().asCharString()) + "." +
         test.getName().asCharString();
}

// Removes the tests from the registry.
void LeaveOut(const std::set<std::string>& names) {
  TestRegistry& registry = *TestRegistry::getCurrentRegistry();
  UtestShell* kept = nullptr;
  UtestShell* test = registry.getFirstTest();
  while (test != nullptr) {
    UtestShell* next = test->getNext();
    if (!names.contains(NameOf(*test))) {
      kept = test;
    } else if (kept == nullptr) {
      registry.unDoLastAddTest();
    } else {
      kept->addTest(next);
    }
    test = next;
  }
}

}  // namespace

int main(int argc, char** argv) {
  // Libraries keep memory until the process exits, which CppUTest would report
  // as leaks. The sanitizer build detects leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  const char* known_red = std::getenv(kKnownRedVariable);
  if (known_red != nullptr) LeaveOut(ReadKnownRed(known_red));
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
