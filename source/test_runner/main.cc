// Runs the tests of a test program; those that KNOWN-RED.txt lists are ignored.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>
#include <CppUTest/Utest.h>

#include <cstdlib>
#include <fstream>
#include <list>
#include <set>
#include <sstream>
#include <string>

namespace {

// Names the file with the tests to ignore; unset runs every test.
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

// An ignored test that stands in for another one. CppUTest keeps pointers to
// the names, so it is never copied.
struct IgnoredTest {
  explicit IgnoredTest(const UtestShell& test)
      : group(test.getGroup()),
        name(test.getName()),
        file(test.getFile()),
        shell(group.asCharString(), name.asCharString(), file.asCharString(),
              test.getLineNumber()) {}

  SimpleString group;
  SimpleString name;
  SimpleString file;
  IgnoredUtestShell shell;
};

// Replaces the tests by ignored ones, which CppUTest counts and prints.
void Ignore(const std::set<std::string>& names) {
  static std::list<IgnoredTest> ignored;  // Used until the process exits.
  TestRegistry& registry = *TestRegistry::getCurrentRegistry();
  UtestShell* before = nullptr;
  for (UtestShell* test = registry.getFirstTest(); test != nullptr;
       test = test->getNext()) {
    if (names.contains(NameOf(*test))) {
      UtestShell& shell = ignored.emplace_back(*test).shell;
      shell.addTest(test->getNext());
      if (before == nullptr) {
        registry.unDoLastAddTest();
        registry.addTest(&shell);
      } else {
        before->addTest(&shell);
      }
      test = &shell;
    }
    before = test;
  }
}

}  // namespace

int main(int argc, char** argv) {
  // Libraries keep memory until the process exits, which CppUTest would report
  // as leaks. The sanitizer build detects leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  const char* known_red = std::getenv(kKnownRedVariable);
  if (known_red != nullptr) Ignore(ReadKnownRed(known_red));
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
