/// Check of worker entries. Anyone may write one, so each is checked where it is read, before it is
/// used or passed on to other processes.
#pragma once

#include <string>

namespace eelgrassrail
{

struct worker_entry;

/// @brief Why an entry can not be one of a worker: it would make requests to the worker malformed
/// (an id that is no header value), name no address that can be called, or make the messages
/// between processes too large.
/// @return empty if it can be one
[[nodiscard]] std::string find_defect(const worker_entry& entry);

} // namespace eelgrassrail
