#include "enginerecord.h"

#include <cstdlib>

namespace filbertgw::testing {

RequestedAnswer requestedAnswer(const std::string &target, const std::string &body)
{
    RequestedAnswer requested;
    if (body.empty()) {
        requested.token_ = target.substr(target.rfind('/') + 1);
        return requested;
    }
    const std::size_t start = body.rfind("[[");
    const std::size_t bar = start == std::string::npos ? start : body.find('|', start);
    if (bar != std::string::npos) {
        requested.token_ = body.substr(start + 2, bar - start - 2);
        requested.events_ = std::strtoull(body.c_str() + bar + 1, nullptr, 10);
    }
    return requested;
}

std::string requestBody(const RequestedAnswer &answer)
{
    return "[[" + answer.token_ + '|' + std::to_string(answer.events_) + "]] words of an input\n";
}

} // namespace filbertgw::testing
