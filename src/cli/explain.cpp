#include "cli/explain.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

/** \brief Value of the field `name=value` of a log line; empty if there is none. */
std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::string start = ' ' + name + '=';
    const std::size_t at = line.find(start);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + start.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

std::string timeOf(const std::string &line)
{
    const std::size_t at = line.find("time=");
    return at == std::string::npos ? std::string() : line.substr(at, line.find(' ', at) - at);
}

} // namespace
} // namespace internal

std::size_t explainRequest(const std::string &id, std::istream &logs, std::ostream &out)
{
    std::vector<std::string> lines;
    std::set<std::string> programs{id};
    for (std::string line; std::getline(logs, line);) {
        if (line.find("event=") == std::string::npos) {
            continue;
        }
        const std::string program = internal::fieldOf(line, "program");
        if (internal::fieldOf(line, "request") == id && !program.empty()) {
            programs.insert(program);
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::string> matches;
    for (const std::string &line : lines) {
        const bool isMatch = internal::fieldOf(line, "request") == id || internal::fieldOf(line, "previous") == id
            || internal::fieldOf(line, "resumes") == id || programs.count(internal::fieldOf(line, "program")) > 0;
        if (isMatch) {
            matches.push_back(line);
        }
    }
    std::stable_sort(matches.begin(), matches.end(), [](const std::string &a, const std::string &b) {
        return internal::timeOf(a) < internal::timeOf(b);
    });
    for (const std::string &line : matches) {
        out << line << '\n';
    }
    return matches.size();
}

} // namespace filbertgw
