#include "routing/requestfingerprint.h"

#include "core/digest.h"

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t fingerprintDigits = 32;
constexpr char targetPrefix = 't';

std::string targetText(const GatewayRequest &request)
{
    return request.scope_ + request.method_ + '\n' + request.host_ + '\n' + request.target_ + '\n';
}

} // namespace
} // namespace internal

std::string fingerprintOf(const GatewayRequest &request)
{
    const std::string text = internal::targetText(request) + request.previousTurn_ + '\n' + request.body_;
    return sha256(text).substr(0, internal::fingerprintDigits);
}

std::string targetFingerprintOf(const GatewayRequest &request)
{
    return internal::targetPrefix + sha256(internal::targetText(request)).substr(1, internal::fingerprintDigits - 1);
}

RequestFingerprints RequestFingerprints::of(const GatewayRequest &request)
{
    return RequestFingerprints{fingerprintOf(request), targetFingerprintOf(request)};
}

} // namespace filbertgw
