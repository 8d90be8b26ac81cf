/// Parses "arrival ATTEMPT AT", "begin ATTEMPT KEY FENCE AT" and "end ATTEMPT AT".
#include "worker_journal.hpp"

#include <fstream>
#include <sstream>

namespace review
{

std::size_t journal_line::router() const
{
    return std::stoul(attempt.substr(1));
}

std::vector<journal_line> read_journal(const std::string& file, std::streamoff& position)
{
    std::vector<journal_line> lines;
    std::ifstream in(file);
    in.seekg(position);
    for (std::string text; std::getline(in, text) && !in.eof();)
    {
        position = in.tellg();
        std::istringstream words(text);
        journal_line line;
        std::string skipped;
        words >> line.kind >> line.attempt;
        if (line.kind == "begin")
            words >> skipped >> skipped;
        else if (line.kind != "arrival" && line.kind != "end")
            continue;
        if (words >> line.at_us)
            lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace review
