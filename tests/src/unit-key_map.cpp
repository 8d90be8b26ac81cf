/// Key maps and ownership records.
#include <eelgrassrail/grants/key_map.hpp>
#include <eelgrassrail/grants/ownership_record.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <random>

using namespace eelgrassrail;

namespace
{

key_slice ready_slice(std::uint32_t first, std::uint32_t last, const std::string& owner)
{
    return {first, last, {owner, 1}, true, {}, {}};
}

} // namespace

class unit_key_map : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_key_map);
    CPPUNIT_TEST(painting_agrees_with_a_list_of_all_keys);
    CPPUNIT_TEST(a_plan_for_many_slices_takes_no_time);
    CPPUNIT_TEST(a_new_map_has_no_owner);
    CPPUNIT_TEST(painting_splits_and_merges);
    CPPUNIT_TEST(random_painting_keeps_the_map_whole);
    CPPUNIT_TEST(a_record_is_painted_like_a_map);
    CPPUNIT_TEST_SUITE_END();

  public:
    void painting_agrees_with_a_list_of_all_keys()
    {
        std::mt19937 random(5);
        key_map map;
        std::vector<std::string> owners(key_count);
        constexpr int assignments = 3'000;
        for (int n = 0; n < assignments; ++n)
        {
            key_slice slice;
            slice.first = static_cast<std::uint32_t>(random() % key_count);
            const auto width = static_cast<std::uint32_t>(random() % (n % 3 == 0 ? 3 : 5'000));
            slice.last = std::min<std::uint32_t>(key_count - 1, slice.first + width);
            slice.owner.id = std::string(1, static_cast<char>('a' + random() % 4));
            map.assign_slice(slice);
            std::fill(owners.begin() + slice.first, owners.begin() + slice.last + 1,
                      slice.owner.id);
        }
        std::uint32_t next = 0;
        for (const auto& slice : map.slices())
        {
            CPPUNIT_ASSERT_EQUAL(next, slice.first);
            CPPUNIT_ASSERT(slice.first <= slice.last);
            CPPUNIT_ASSERT(next == 0 || owners[next - 1] != slice.owner.id);
            for (auto key = slice.first; key <= slice.last; ++key)
                CPPUNIT_ASSERT_EQUAL(owners[key], slice.owner.id);
            next = slice.last + 1;
        }
        CPPUNIT_ASSERT_EQUAL(key_count, next);
    }

    /// The coordinator assigns all slices and writes the record between two pushes.
    void a_plan_for_many_slices_takes_no_time()
    {
        key_map map;
        constexpr std::uint32_t slices = 4'096;
        constexpr std::uint32_t width = key_count / slices;
        const auto began = std::chrono::steady_clock::now();
        for (std::uint32_t round = 0; round < 4; ++round)
            for (std::uint32_t n = 0; n < slices; ++n)
            {
                key_slice slice;
                slice.first = n * width;
                slice.last = slice.first + width - 1;
                slice.owner.id = std::to_string(n * 7 + round);
                map.assign_slice(slice);
            }
        CPPUNIT_ASSERT_EQUAL(std::size_t(slices), map.slices().size());
        // The limit is one push interval for four times as many moves as there are slices. An
        // assignment with linear complexity took 1.8 s.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(250));
    }

    void a_new_map_has_no_owner()
    {
        const key_map map;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), map.slices().size());
        CPPUNIT_ASSERT(map.find(key_count - 1).owner.id.empty());
        CPPUNIT_ASSERT(!map.find(0).is_ready);
    }

    void painting_splits_and_merges()
    {
        key_map map;
        map.assign_slice(ready_slice(0, key_count - 1, "a"));
        map.assign_slice(ready_slice(100, 199, "b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), map.slices().size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), map.find(100).owner.id);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), map.find(200).owner.id);
        map.assign_slice(ready_slice(100, 199, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), map.slices().size());
        map.assign_slice(ready_slice(5, 4, "c")); // an empty range changes nothing
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), map.slices().size());
    }

    void random_painting_keeps_the_map_whole()
    {
        std::mt19937 random(3);
        std::uniform_int_distribution<std::uint32_t> key(0, key_count - 1);
        std::uniform_int_distribution<int> owner(0, 4);
        key_map map;
        std::vector<int> expected(key_count, -1);
        for (int n = 0; n < 300; ++n)
        {
            auto first = key(random);
            auto last = key(random);
            if (first > last)
                std::swap(first, last);
            const int who = owner(random);
            map.assign_slice(ready_slice(first, last, std::to_string(who)));
            std::fill(expected.begin() + first, expected.begin() + last + 1, who);
        }
        std::uint32_t next = 0;
        for (const auto& slice : map.slices())
        {
            CPPUNIT_ASSERT_EQUAL(next, slice.first);
            next = slice.last + 1;
        }
        CPPUNIT_ASSERT_EQUAL(key_count, next);
        for (std::uint32_t k = 0; k < key_count; k += 13)
            CPPUNIT_ASSERT_EQUAL(expected[k] < 0 ? std::string() : std::to_string(expected[k]),
                                 map.find(k).owner.id);
    }

    void a_record_is_painted_like_a_map()
    {
        ownership_record record;
        record.assign_slice("s", ready_slice(10, 20, "a"));
        record.assign_slice("s", ready_slice(15, 30, "b"));
        record.assign_slice("t", ready_slice(0, 0, "c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), record.services.size());
        key_map map;
        for (const auto& slice : record.services[0].slices)
            map.assign_slice(slice);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), map.find(14).owner.id);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), map.find(15).owner.id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_key_map);
