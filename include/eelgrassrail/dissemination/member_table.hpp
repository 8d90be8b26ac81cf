/// The processes known to the coordinator, and the relay trees that its pushes take.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/dissemination/cluster_member.hpp>
#include <eelgrassrail/dissemination/relay_tree.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// The two relay trees that pushes use in turn. A process that relays to many others in one tree
/// relays to few in the other, so the next push makes up for the loss of a relay.
enum class relay_choice : std::uint8_t
{
    gathering, ///< relays of this tree also collect reports for the coordinator
    other      ///< pushes only
};

/// The part of a report that describes one process.
struct member_report
{
    cluster_member member;
    bool is_leaving{}; ///< it is stopping; a new process at its address gets pushes again
    bool is_orphan{};  ///< it receives no pushes
};
BOOST_DESCRIBE_STRUCT(member_report, (), (member, is_leaving, is_orphan))

/// Members by address. A member without recent reports is not used as a relay; one that receives no
/// pushes (an orphan) is sent to directly.
class member_table
{
  public:
    /// @brief Adds a member that another process knew.
    void add(const cluster_member& member, instant now);

    /// @brief Applies the part of a report that describes a member.
    /// @return whether the member was unknown before
    bool on_member_report(const member_report& report, instant now);

    /// @brief Erases members without reports for 30 s, in which a restart at their address is
    /// expected.
    void remove_expired(instant now);

    void clear() noexcept { m_known.clear(); }

    /// @brief The live members, those with the most processor time first.
    [[nodiscard]] std::vector<cluster_member> live_members(instant now) const;

    /// @brief The direct receivers of the next push and those behind each of them. Each
    /// availability zone has its own relays.
    [[nodiscard]] std::vector<relay_part<std::string>> plan(relay_choice choice, instant now) const;

  private:
    struct known_member
    {
        cluster_member member;
        instant last_seen{};
        instant orphan_since{}; ///< time of the last report if it said so; zero: it receives pushes
        bool has_left{};
    };

    std::map<std::string, known_member, std::less<>> m_known; ///< by address
};

} // namespace eelgrassrail
