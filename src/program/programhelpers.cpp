#include "program/programcontrollerprivate.h"

#include "core/digest.h"

namespace filbertgw::internal {

namespace {

constexpr std::int64_t promptOverheadTokens = 16; // Upper bound of the tokens added by a chat template.

} // namespace

Failure makeFailure(FailureType type, bool notRun, const char *detail, Duration retryAfter)
{
    Failure failure;
    failure.type_ = type;
    failure.notRun_ = notRun;
    failure.detail_ = detail;
    failure.retryAfter_ = retryAfter;
    return failure;
}

std::string requestHashOf(const CallRequest &request)
{
    const std::string head = std::string(nameOf(request.kind_)) + '\n' + request.target_ + '\n';
    return sha256(head + request.input_).substr(0, 32);
}

std::int64_t byteCount(const std::string &text)
{
    return static_cast<std::int64_t>(text.size());
}

std::int64_t maxPromptTokens(const ChainState &chain)
{
    std::int64_t tokens = promptOverheadTokens;
    for (std::vector<TurnBody>::const_reverse_iterator turn = chain.turns_.rbegin(); turn != chain.turns_.rend();
         ++turn) {
        if (turn->kind_ == CallKind::Model && turn->usage_.tokens_ > 0) {
            return tokens + turn->usage_.tokens_;
        }
        tokens += byteCount(turn->input_) + byteCount(turn->answer_) + 2;
    }
    return tokens;
}

} // namespace filbertgw::internal
