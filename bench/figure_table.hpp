/// Table of measured figures and their targets.
#pragma once

#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

namespace eelgrassrail::harness
{

/// Prints `name | target | measured | met or missed` for each figure and records whether a target
/// was missed.
class figure_table
{
  public:
    /// @brief Prints a figure whose target is an upper limit.
    void at_most(const std::string& name, double target, double measured, const std::string& unit)
    {
        print_line(name, "at most " + format(target) + " " + unit, format(measured) + " " + unit,
                   measured <= target);
    }

    /// @brief Prints a figure whose target is a lower limit.
    void at_least(const std::string& name, double target, double measured, const std::string& unit)
    {
        print_line(name, "at least " + format(target) + " " + unit, format(measured) + " " + unit,
                   measured >= target);
    }

    /// @brief Prints a figure without a target.
    void without_target(const std::string& name, double measured, const std::string& unit)
    {
        std::cout << name << " | - | " << format(measured) << " " << unit << " | -" << std::endl;
    }

    /// @brief Whether all targets were met.
    [[nodiscard]] bool all_met() const noexcept { return m_all_met; }

  private:
    static std::string format(double value)
    {
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.4g", value);
        return buf;
    }

    void print_line(const std::string& name, const std::string& target, const std::string& measured,
                    bool is_met)
    {
        std::cout << name << " | " << target << " | " << measured << " | "
                  << (is_met ? "met" : "missed") << std::endl;
        m_all_met = m_all_met && is_met;
    }

    bool m_all_met{true};
};

/// @brief Body of `main` of a measuring program; prints an exception to standard error.
/// @return 0 if all targets were met, 1 if one was missed, 2 if a measurement failed
template <class Measure>
int run_measurement(const std::string& program, Measure measure)
{
    try
    {
        figure_table table;
        std::cout << "name | target | measured | met or missed" << std::endl;
        measure(table);
        return table.all_met() ? 0 : 1;
    }
    catch (const std::exception& e)
    {
        std::cerr << program << ": " << e.what() << '\n';
        return 2;
    }
}

} // namespace eelgrassrail::harness
