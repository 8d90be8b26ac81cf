/// Runs the CppUnit tests, all or those named by the first argument, and prints their counts.
/// Failed tests that are listed in KNOWN-RED.txt are counted separately and don't fail the run.
/// The environment variable EELGRASSRAIL_LOG sets the log level.
#include <eelgrassrail/observe/log.hpp>

#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace
{

/// Names in the lines `test NAME` of the file; empty if there is no file.
std::set<std::string> known_red(const std::string& file)
{
    std::set<std::string> names;
    std::ifstream in(file);
    for (std::string keyword, line; in >> keyword && std::getline(in, line);)
        if (keyword == "test")
            names.insert(line.substr(line.find_first_not_of(' ')));
    return names;
}

/// Prints the name of each test as it starts.
class progress_listener : public CppUnit::TestListener
{
  public:
    void startTest(CppUnit::Test* test) override
    {
        std::cout << test->getName() << std::endl; // NOLINT(performance-avoid-endl)
    }
};

} // namespace

int main(int argc, char** argv)
{
    const char* log_level = std::getenv("EELGRASSRAIL_LOG");
    eelgrassrail::start_logging(log_level != nullptr ? log_level : "error");
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    progress_listener listener;
    controller.addListener(&collector);
    controller.addListener(&listener);
    auto* suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    CppUnit::TestRunner runner;
    runner.addTest(suite);
    runner.run(controller, argc > 1 ? argv[1] : "");
    CppUnit::TextOutputter(&collector, std::cout).write();

    const auto known_failures = known_red("KNOWN-RED.txt");
    std::set<std::string> failed;
    for (const auto* failure : collector.failures())
        failed.insert(failure->failedTestName());
    const auto known =
        std::erase_if(failed, [&](const auto& name) { return known_failures.contains(name); });
    const auto passed = static_cast<std::size_t>(collector.runTests()) - failed.size() - known;
    std::cout << "tests: " << passed << " passed, " << failed.size() << " failed, " << known
              << " known red\n";
    return failed.empty() ? 0 : 1;
}
