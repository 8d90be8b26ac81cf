/// Encoding of peer frames and datagrams: round trips, truncated and mutated bytes.
#include <eelgrassrail/peers/peer_message.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace eelgrassrail;

namespace
{

peer_frame sample_frame()
{
    delta_call call;
    call.value.pool = {"orders", "zone-a", 3};
    call.value.entries = {{"bar\nfiling\nf-1", 17, run_state::done, 4, "w1", 0, {}}};
    call.value.owners = {{4, "w1"}};
    return {99, false, "zone-a", call};
}

} // namespace

class unit_peer_message : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_peer_message);
    CPPUNIT_TEST(a_frame_survives_the_round_trip);
    CPPUNIT_TEST(a_datagram_survives_the_round_trip);
    CPPUNIT_TEST(torn_and_longer_frames_are_refused);
    CPPUNIT_TEST(mutated_frames_are_refused_or_read);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_frame_survives_the_round_trip()
    {
        const auto read = decode_frame(encode(sample_frame()));
        CPPUNIT_ASSERT(read.has_value());
        const auto& call = std::get<delta_call>(read->body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, read->number);
        CPPUNIT_ASSERT(call.value.owners == std::get<delta_call>(sample_frame().body).value.owners);
    }

    void a_datagram_survives_the_round_trip()
    {
        const heartbeat beat{{"vm", 5, "zone-a", "127.0.0.1:1"}, {"orders", "zone-a", 0}, 7};
        const auto read = decode_datagram(encode(lease_message(beat), "zone-a"));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(epoch_number{7}, std::get<heartbeat>(read->body).epoch);
    }

    void torn_and_longer_frames_are_refused()
    {
        const auto encoded = encode(sample_frame());
        for (std::size_t n = 0; n < encoded.size(); ++n)
            CPPUNIT_ASSERT(!decode_frame(std::span(encoded).first(n)));
        CPPUNIT_ASSERT(!decode_frame(encoded + "x"));
    }

    void mutated_frames_are_refused_or_read()
    {
        std::mt19937 random(4);
        const auto encoded = encode(sample_frame());
        std::size_t refused = 0;
        for (int n = 0; n < 20'000; ++n)
        {
            auto bytes = encoded;
            bytes[random() % bytes.size()] = static_cast<char>(random());
            refused += decode_frame(bytes) ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_peer_message);
