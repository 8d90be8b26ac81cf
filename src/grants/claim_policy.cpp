/// Claims after a time-out, staggered by rank.
#include <eelgrassrail/grants/claim_policy.hpp>

namespace eelgrassrail
{

bool should_claim(const coordinator_evidence& evidence, instant now) noexcept
{
    if (evidence.was_own_address)
        return true;
    const auto stagger = claim_stagger * static_cast<std::int64_t>(evidence.rank);
    if (evidence.store_lost_since != instant{})
        return now >= evidence.store_lost_since + log_loss_timeout + stagger;
    const auto timeout = evidence.is_on_record ? coordinator_timeout : millis(0);
    return now >= evidence.last_push_at + timeout + stagger;
}

} // namespace eelgrassrail
