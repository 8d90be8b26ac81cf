/// Seeded search over interleavings of loss, pause, cut, outage, race, drift and delay.
#include "ownership_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

using namespace eelgrassrail;
using namespace eelgrassrail::fakes;

namespace
{

/// Seeds of one run; EELGRASSRAIL_SEEDS sets another count, EELGRASSRAIL_FIRST_SEED the first.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
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
            const auto wrong = world.run();
            if (!wrong.empty())
                std::cout << world.trace();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), wrong);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(search_ownership);
