/// Randomized tests of ownership: seeded interleavings of crashes, pauses, network partitions, log
/// outages, races, clock drift and delays.
#include "ownership_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

using namespace eelgrassrail;
using namespace eelgrassrail::fakes;

namespace
{

/// Reads a number from an environment variable: EELGRASSRAIL_SEEDS, the number of seeds of one run,
/// or EELGRASSRAIL_FIRST_SEED.
std::uint64_t from_environment(const char* name, std::uint64_t default_value)
{
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

} // namespace

class search_ownership : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(search_ownership);
    CPPUNIT_TEST(no_seed_has_two_senders_or_stays_unserved);
    CPPUNIT_TEST_SUITE_END();

  public:
    void no_seed_has_two_senders_or_stays_unserved()
    {
        constexpr std::uint64_t default_seeds = 300;
        const auto first = from_environment("EELGRASSRAIL_FIRST_SEED", 1);
        const auto count = from_environment("EELGRASSRAIL_SEEDS", default_seeds);
        for (auto seed = first; seed < first + count; ++seed)
        {
            ownership_world world(seed, {});
            const auto violation = world.run();
            if (!violation.empty())
                std::cout << world.trace();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violation);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(search_ownership);
