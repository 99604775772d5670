#include "ledger/firstturnclaims.h"

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t maxClaims = 20'000;

} // namespace
} // namespace internal

FirstTurnClaims::FirstTurnClaims(Clock now)
    : now_(std::move(now))
{
}

std::string FirstTurnClaims::holderOf(const std::string &program)
{
    expire();
    const auto claimed = writers_.find(program);
    return claimed == writers_.end() ? std::string() : claimed->second;
}

std::string FirstTurnClaims::claim(const std::string &program, const std::string &writer)
{
    expire();
    const auto inserted = writers_.emplace(program, writer);
    if (inserted.second) {
        claimed_.emplace_back(now_(), program);
    }
    return inserted.first->second;
}

void FirstTurnClaims::release(const std::string &program, const std::string &writer)
{
    const auto claimed = writers_.find(program);
    if (claimed != writers_.end() && claimed->second == writer) {
        writers_.erase(claimed);
    }
}

void FirstTurnClaims::expire()
{
    const Time oldest = now_() - lifetime;
    while (!claimed_.empty() && (claimed_.front().first < oldest || claimed_.size() >= internal::maxClaims)) {
        writers_.erase(claimed_.front().second);
        claimed_.pop_front();
    }
}

} // namespace filbertgw
