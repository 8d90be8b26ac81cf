/// The move chooser: gain against cost, hysteresis, baselines.
#include <eelgrassrail/balance/move_chooser.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace eelgrassrail;

namespace
{

const std::vector<server_capacity> three{{"a", 1.0}, {"b", 1.0}, {"c", 1.0}};

std::vector<slice_work> one_hot_server()
{
    return {{0, "a", 40.0}, {1, "a", 40.0}, {2, "a", 10.0}, {3, "b", 15.0}, {4, "c", 15.0}};
}

} // namespace

class unit_balance : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_balance);
    CPPUNIT_TEST(the_hottest_server_gives_a_slice_away);
    CPPUNIT_TEST(an_even_load_moves_nothing);
    CPPUNIT_TEST(a_high_price_on_churn_moves_less);
    CPPUNIT_TEST(a_single_hot_slice_is_not_moved_in_vain);
    CPPUNIT_TEST(a_larger_server_takes_more);
    CPPUNIT_TEST(one_server_has_nothing_to_move);
    CPPUNIT_TEST_SUITE_END();

  public:
    void the_hottest_server_gives_a_slice_away()
    {
        const auto steps = choose_moves(one_hot_server(), three, {});
        CPPUNIT_ASSERT(!steps.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), steps[0].from);
    }

    void an_even_load_moves_nothing()
    {
        const std::vector<slice_work> even{{0, "a", 10.0}, {1, "b", 11.0}, {2, "c", 9.0}};
        CPPUNIT_ASSERT(choose_moves(even, three, {}).empty());
    }

    void a_high_price_on_churn_moves_less()
    {
        balance_parameters costly;
        costly.churn_weight = 50.0; // the best move gains 0.875 of the mean, less than 50 * 0.02
        CPPUNIT_ASSERT(choose_moves(one_hot_server(), three, costly).empty());
        CPPUNIT_ASSERT(!choose_moves_greedy(one_hot_server(), three, 4).empty());
    }

    void a_single_hot_slice_is_not_moved_in_vain()
    {
        const std::vector<slice_work> slices{{0, "a", 90.0}, {1, "b", 5.0}, {2, "c", 5.0}};
        CPPUNIT_ASSERT(choose_moves(slices, three, {}).empty());
    }

    void a_larger_server_takes_more()
    {
        const std::vector<server_capacity> servers{{"a", 3.0}, {"b", 1.0}};
        const std::vector<slice_work> slices{{0, "a", 30.0}, {1, "a", 30.0}, {2, "b", 20.0}};
        CPPUNIT_ASSERT(choose_moves(slices, servers, {}).empty());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, imbalance(slices, servers), 0.01);
    }

    void one_server_has_nothing_to_move()
    {
        const std::vector<server_capacity> one{{"a", 1.0}};
        CPPUNIT_ASSERT(choose_moves(one_hot_server(), one, {}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_balance);
