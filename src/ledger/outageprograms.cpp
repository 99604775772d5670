#include "ledger/outageprograms.h"

#include <utility>

namespace filbertgw {

OutagePrograms::OutagePrograms(Clock now)
    : now_(std::move(now))
{
}

void OutagePrograms::add(const std::string &program)
{
    programs_[program].usedAt_ = now_();
}

bool OutagePrograms::contains(const std::string &program) const
{
    return programs_.count(program) != 0;
}

void OutagePrograms::remove(const std::string &program)
{
    programs_.erase(program);
}

void OutagePrograms::clear()
{
    programs_.clear();
}

std::vector<std::string> OutagePrograms::programs() const
{
    std::vector<std::string> names;
    names.reserve(programs_.size());
    for (const std::pair<const std::string, Program> &entry : programs_) {
        names.push_back(entry.first);
    }
    return names;
}

std::string OutagePrograms::runningWriter(const std::string &program) const
{
    const auto found = programs_.find(program);
    const bool runs = found != programs_.end() && now_() - found->second.usedAt_ < turnLifetime;
    return runs ? found->second.writer_ : std::string();
}

void OutagePrograms::beginTurn(const std::string &program, const std::string &writer)
{
    programs_[program] = Program{writer, now_()};
}

void OutagePrograms::endTurn(const std::string &program, const std::string &writer)
{
    const auto found = programs_.find(program);
    if (found != programs_.end() && found->second.writer_ == writer) {
        found->second.writer_.clear();
    }
}

void OutagePrograms::expire()
{
    const Time oldest = now_() - lifetime;
    for (auto entry = programs_.begin(); entry != programs_.end();) {
        entry = entry->second.usedAt_ < oldest ? programs_.erase(entry) : std::next(entry);
    }
}

} // namespace filbertgw
