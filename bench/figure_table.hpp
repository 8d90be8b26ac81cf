/// A table of measured figures beside their targets.
#pragma once

#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

namespace eelgrassrail::harness
{

/// Prints `name | target | measured | holds or short` and remembers whether one is short.
class figure_table
{
  public:
    /// @brief A figure that has to be at most its target.
    void at_most(const std::string& name, double target, double measured, const std::string& unit)
    {
        line(name, "at most " + text(target) + " " + unit, text(measured) + " " + unit,
             measured <= target);
    }

    /// @brief A figure that has to be at least its target.
    void at_least(const std::string& name, double target, double measured, const std::string& unit)
    {
        line(name, "at least " + text(target) + " " + unit, text(measured) + " " + unit,
             measured >= target);
    }

    /// @brief A figure without a target.
    void plain(const std::string& name, double measured, const std::string& unit)
    {
        std::cout << name << " | - | " << text(measured) << " " << unit << " | -" << std::endl;
    }

    [[nodiscard]] bool all_hold() const noexcept { return m_all_hold; }

  private:
    static std::string text(double value)
    {
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.4g", value);
        return buf;
    }

    void line(const std::string& name, const std::string& target, const std::string& measured,
              bool holds)
    {
        std::cout << name << " | " << target << " | " << measured << " | "
                  << (holds ? "holds" : "short") << std::endl;
        m_all_hold = m_all_hold && holds;
    }

    bool m_all_hold{true};
};

/// @brief Runs a measuring program.
/// @return 0 if all figures hold, 1 if one is short, 2 if a measurement could not be made
template <class Measure>
int run_measurement(const std::string& program, Measure measure)
{
    try
    {
        figure_table table;
        std::cout << "name | target | measured | holds or short" << std::endl;
        measure(table);
        return table.all_hold() ? 0 : 1;
    }
    catch (const std::exception& e)
    {
        std::cerr << program << ": " << e.what() << '\n';
        return 2;
    }
}

} // namespace eelgrassrail::harness
