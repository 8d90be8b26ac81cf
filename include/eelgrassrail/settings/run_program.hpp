/// The frame of a daemon's main function.
#pragma once

#include <eelgrassrail/core/exception.hpp>

#include <gflags/gflags.h>

#include <exception>
#include <iostream>
#include <string>

namespace eelgrassrail
{

/// @brief Reads the command line and runs a daemon.
/// @param usage what `--help` says first
/// @return the exit code: 2 if a setting is not allowed, 1 if the daemon can not start
template <class Daemon>
int run_program(int argc, char** argv, const std::string& usage, Daemon daemon)
{
    constexpr int settings_exit = 2;
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
        return settings_exit;
    }
    catch (const std::exception& e)
    {
        std::cerr << "can not start: " << e.what() << '\n';
        return 1;
    }
}

} // namespace eelgrassrail
