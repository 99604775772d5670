#include "cli/explain.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

/** Begins the names of the events that tell which configuration a node has. */
const std::string configurationEvents = "configuration_";
constexpr std::size_t configurationLinesShown = 3;

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

bool isBefore(const std::string &line, const std::string &other)
{
    return timeOf(line) < timeOf(other);
}

bool isOfConfiguration(const std::string &line)
{
    return fieldOf(line, "event").compare(0, configurationEvents.size(), configurationEvents) == 0;
}

/** \brief Why a request was refused with 401. \param check the field `auth` of its log line, a KeyCheck */
std::string reasonOf(const std::string &check, const std::string &version)
{
    if (check == "missing") {
        return "it had no key, and its route is not open";
    }
    if (check == "malformed") {
        return "its key was too long, not printable or sent more than once";
    }
    return "no account has its key in version " + version + " of the configuration, which was in force there";
}

/** \brief Prints why a request was refused with 401, and what its node knew of the configuration by then. */
void explainKey(const std::string &ended, const std::vector<std::string> &sortedLines, std::ostream &out)
{
    const std::string node = fieldOf(ended, "node");
    std::vector<std::string> known;
    for (const std::string &line : sortedLines) {
        if (isOfConfiguration(line) && fieldOf(line, "node") == node && !isBefore(ended, line)) {
            known.push_back(line);
        }
    }
    out << "# " << node << " answered 401 to " << fieldOf(ended, "request") << ": "
        << reasonOf(fieldOf(ended, "auth"), fieldOf(ended, "configuration")) << '\n';
    const std::size_t shown = std::min(known.size(), configurationLinesShown);
    std::for_each(known.end() - static_cast<std::ptrdiff_t>(shown), known.end(), [&out](const std::string &line) {
        out << "#   " << line << '\n';
    });
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
    std::stable_sort(lines.begin(), lines.end(), internal::isBefore);
    std::vector<std::string> matches;
    for (const std::string &line : lines) {
        const bool isMatch = internal::fieldOf(line, "request") == id || internal::fieldOf(line, "previous") == id
            || internal::fieldOf(line, "resumes") == id || programs.count(internal::fieldOf(line, "program")) > 0;
        if (isMatch) {
            matches.push_back(line);
        }
    }
    for (const std::string &line : matches) {
        out << line << '\n';
        if (internal::fieldOf(line, "outcome") == "unauthenticated") {
            internal::explainKey(line, lines, out);
        }
    }
    return matches.size();
}

} // namespace filbertgw
