/// Compression of messages, and packing of pushes that are too large for a datagram.
#include <eelgrassrail/peers/codec.hpp>
#include <eelgrassrail/peers/packing.hpp>
#include <eelgrassrail/router/push_packing.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace eelgrassrail;

namespace
{

constexpr std::size_t udp_limit = 65'507; ///< of a datagram over IPv4

/// Ids in the platform's format, which hardly compress.
std::string random_id(std::mt19937& random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id = "i-";
    for (int n = 0; n < 10; ++n)
        id += digits[random() % digits.size()];
    return id;
}

/// A push with the given numbers of entries. A large deployment has 2,300 processes and some
/// thousand workers, with many moves within a second.
coordinator_push large_push(std::size_t moves, std::size_t workers, std::size_t processes)
{
    std::mt19937 random(3);
    coordinator_push push;
    push.sender = {"10.0.0.1:7000", "z1", 1};
    push.ownership_version = 10'000;
    push.ownership_base = 10'000 - moves;
    push.workers_revision = 77;
    push.workers_base = 50;
    for (std::uint32_t n = 0; n < moves; ++n)
        push.ownership.push_back(
            {push.ownership_base + n + 1,
             "windows",
             {n, n, {random_id(random), 1}, true, {random_id(random), 2}, {}}});
    for (std::uint32_t n = 0; n < workers; ++n)
        push.use.push_back({random_id(random), n % 9, 200 + n % 50, 1'000});
    for (std::size_t n = 0; n < processes; ++n)
        push.members.push_back({"10." + std::to_string(n % 15) + "." + std::to_string(n / 250) +
                                    "." + std::to_string(n % 250) + ":7000",
                                "z" + std::to_string(n % 15), 0.1F});
    return push;
}

coordinator_push read_back(const std::string& bytes)
{
    const auto whole = unpack(bytes);
    CPPUNIT_ASSERT(whole.has_value());
    const auto push = read_message<coordinator_push>(*whole);
    CPPUNIT_ASSERT(push.has_value());
    return *push;
}

} // namespace

class unit_push_packing : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_push_packing);
    CPPUNIT_TEST(bytes_survive_the_round_trip);
    CPPUNIT_TEST(damaged_bytes_are_refused);
    CPPUNIT_TEST(bytes_that_grow_too_long_are_refused);
    CPPUNIT_TEST(a_usual_push_is_whole);
    CPPUNIT_TEST(changes_that_do_not_fit_are_left_out);
    CPPUNIT_TEST(any_push_fits_into_a_datagram);
    CPPUNIT_TEST_SUITE_END();

  public:
    void bytes_survive_the_round_trip()
    {
        std::mt19937 random(1);
        for (const std::size_t size : {1UL, 100UL, 16'384UL, 300'000UL})
        {
            std::string bytes(size, ' ');
            for (auto& byte : bytes)
                byte = static_cast<char>(random() % 256);
            const auto back = unpack(pack(bytes));
            CPPUNIT_ASSERT(back.has_value());
            CPPUNIT_ASSERT(*back == bytes);
        }
    }

    void damaged_bytes_are_refused()
    {
        const auto whole = pack(write_message(large_push(10, 10, 10)));
        for (std::size_t n = 0; n < whole.size(); ++n)
        {
            const auto torn = unpack(std::span(whole).first(n));
            CPPUNIT_ASSERT(!torn || !read_message<coordinator_push>(*torn));
            auto mutated = whole;
            mutated[n] = static_cast<char>(mutated[n] ^ 0x55);
            const auto bytes = unpack(mutated);
            if (bytes)
                static_cast<void>(read_message<coordinator_push>(*bytes));
        }
        CPPUNIT_ASSERT(!unpack(std::span<const char>()));
    }

    void bytes_that_grow_too_long_are_refused()
    {
        CPPUNIT_ASSERT(!unpack(pack(std::string(max_unpacked_bytes + 1, 'x'))));
    }

    void a_usual_push_is_whole()
    {
        const auto push = large_push(100, 100, 91);
        const auto back = read_back(pack_push(push));
        CPPUNIT_ASSERT_EQUAL(push.ownership.size(), back.ownership.size());
        CPPUNIT_ASSERT_EQUAL(push.use.size(), back.use.size());
        CPPUNIT_ASSERT_EQUAL(push.ownership_base, back.ownership_base);
    }

    /// A receiver with an older version must be able to detect that it has missed changes.
    void changes_that_do_not_fit_are_left_out()
    {
        const auto push = large_push(3'000, 300, 91);
        CPPUNIT_ASSERT(write_message(push).size() > udp_limit);
        const auto back = read_back(pack_push(push));
        CPPUNIT_ASSERT(back.ownership.empty());
        CPPUNIT_ASSERT_EQUAL(push.ownership_version, back.ownership_base);
        CPPUNIT_ASSERT_EQUAL(push.workers_revision, back.workers_base);
        CPPUNIT_ASSERT_EQUAL(push.use.size(), back.use.size());
    }

    void any_push_fits_into_a_datagram()
    {
        for (const std::size_t size : {10UL, 1'000UL, 10'000UL})
            CPPUNIT_ASSERT(pack_push(large_push(size, size, 2'300)).size() <= max_push_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_push_packing);
