/// Main function of the cases.
#pragma once

#include "deployment.hpp"

#include <functional>

namespace review
{

/// Result of a case; also the exit status.
enum class verdict : int
{
    held = 0,
    broken = 1,
    not_run = 2
};

using scenario = std::function<boost::asio::awaitable<verdict>(deployment&)>;

/// @brief Runs a scenario in the folder that the command line names, for 105 s at most.
/// @return exit status
[[nodiscard]] int run_case(int argc, char** argv, const scenario& play);

} // namespace review
