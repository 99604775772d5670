#include "gateway/requestfingerprint.h"

#include "core/digest.h"

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t fingerprintDigits = 32;

} // namespace
} // namespace internal

std::string fingerprintOf(const GatewayRequest &request)
{
    std::string text;
    for (const std::string *field : {&request.method_, &request.host_, &request.target_, &request.previousTurn_}) {
        text += *field;
        text += '\n';
    }
    text += request.body_;
    return sha256(text).substr(0, internal::fingerprintDigits);
}

} // namespace filbertgw
