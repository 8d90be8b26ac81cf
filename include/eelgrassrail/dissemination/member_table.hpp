/// The processes that the coordinator knows, and through which of them its news travel.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/dissemination/news_member.hpp>
#include <eelgrassrail/dissemination/relay_tree.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail
{

/// The two trees that pushes take by turns: a relay of one passes little on in the other, so that
/// the loss of any one is made good by the next push.
enum class relay_choice : std::uint8_t
{
    gathering, ///< reports go back through this one
    other
};

/// What a report says of one process.
struct member_sight
{
    news_member member;
    bool is_leaving{}; ///< it stops; one that is started at its address is told again
    bool is_orphan{};  ///< it hears no pushes
};
BOOST_DESCRIBE_STRUCT(member_sight, (), (member, is_leaving, is_orphan))

/// Members by address. A member that was not heard of for a while relays nothing; one that hears
/// nothing is told directly.
class member_table
{
  public:
    /// @brief Another process knew this member.
    void add(const news_member& member, instant now);

    /// @brief A report mentions a member.
    /// @return whether it was not known before
    bool on_sight(const member_sight& sight, instant now);

    /// @brief Forgets those that were silent for long.
    void forget_silent(instant now);

    void clear() noexcept { m_known.clear(); }

    /// @brief The members that live, those with the most processor time first.
    [[nodiscard]] std::vector<news_member> living(instant now) const;

    /// @brief Whom the next push goes to directly, and whom through them. Each availability zone
    /// has relays of its own.
    [[nodiscard]] std::vector<relay_part<std::string>> plan(relay_choice choice, instant now) const;

  private:
    struct known_member
    {
        news_member member;
        instant heard{};
        instant orphan_since{}; ///< the last report said that it hears nothing; none: it does
        bool has_left{};
    };

    std::map<std::string, known_member, std::less<>> m_known; ///< by address
};

} // namespace eelgrassrail
