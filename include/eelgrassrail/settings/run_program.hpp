/// Main function shared by the daemons.
#pragma once

#include <eelgrassrail/core/exception.hpp>

#include <gflags/gflags.h>

#include <exception>
#include <iostream>
#include <string>

namespace eelgrassrail
{

/// @brief Parses the command line and runs a daemon.
/// @param usage first sentence of the `--help` text
/// @param daemon called without arguments; returns the exit code
/// @return exit code of the daemon; 2 for an invalid setting, 1 for any other exception
template <class Daemon>
int run_program(int argc, char** argv, const std::string& usage, Daemon daemon)
{
    constexpr int settings_error_exit = 2;
    gflags::SetUsageMessage(usage + "; every flag can also be set with an environment variable "
                                    "EELGRASSRAIL_FLAG");
    gflags::SetVersionString("0.2.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return daemon();
    }
    catch (const settings_error& e)
    {
        std::cerr << e.what() << '\n';
        return settings_error_exit;
    }
    catch (const std::exception& e)
    {
        std::cerr << "can not start: " << e.what() << '\n';
        return 1;
    }
}

} // namespace eelgrassrail
