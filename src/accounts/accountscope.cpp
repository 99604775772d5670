#include "accounts/accountscope.h"

#include "core/digest.h"

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t scopeDigits = 16;

} // namespace
} // namespace internal

std::string accountScope(const std::string &account)
{
    return sha256(account).substr(0, internal::scopeDigits);
}

std::string scopedId(const std::string &scope, const std::string &id)
{
    return id.empty() ? std::string() : scope + id;
}

} // namespace filbertgw
