/// A child process that the test harness starts and signals by its pid.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassrail::harness
{

/// Owns one child process; kills it when destroyed.
class child_process
{
  public:
    /// @param log file to which standard output and error are appended
    /// @throws std::runtime_error if the program cannot be started
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send(int signal) const;

    /// @brief Sends SIGKILL and waits for the process to exit.
    void kill();

    /// @brief Sends SIGCONT and SIGTERM, so that a paused process stops too, and waits for it to
    /// exit.
    /// @return exit status, as from waitpid
    int stop();

    /// @brief Waits for the process to exit by itself.
    /// @return exit status, as from waitpid
    int wait_for_exit() { return wait(); }

    [[nodiscard]] bool is_running() const noexcept { return m_pid > 0; }
    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

  private:
    int wait();

    pid_t m_pid{}; ///< 0 after the process has exited
};

} // namespace eelgrassrail::harness
