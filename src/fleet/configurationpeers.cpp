#include "fleet/configurationpeers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const configurationType = "configuration";
const char *const haveKey = "have";
const char *const versionKey = "version";
const char *const textKey = "text";

} // namespace
} // namespace internal

ConfigurationPeers::ConfigurationPeers(ConfigurationPeersHooks hooks, ConfigurationPeersSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
{
}

void ConfigurationPeers::setCurrent(std::uint64_t version, std::string text)
{
    version_ = version;
    text_ = std::move(text);
}

std::uint64_t ConfigurationPeers::offeredVersion() const
{
    return text_.empty() ? 0 : version_;
}

void ConfigurationPeers::reported(const FleetMember &node, std::uint64_t version)
{
    if (version <= std::max(hooks_.version_(), rejectedVersion_)) {
        return;
    }
    if (!behindSince_) {
        behindSince_ = hooks_.now_();
    }
    newer_ = NewerNode{node, version};
}

void ConfigurationPeers::update()
{
    if (!newer_ || isAsking_) {
        return;
    }
    if (newer_->version_ <= std::max(hooks_.version_(), rejectedVersion_)) {
        newer_.reset();
        behindSince_.reset();
        return;
    }
    const Time now = hooks_.now_();
    if (now < *behindSince_ + settings_.grace_ || now < askAfter_) {
        return;
    }
    isAsking_ = true;
    const nlohmann::json body = {{internal::haveKey, hooks_.version_()}};
    const auto onAnswer = [this, asked = *newer_](const std::optional<nlohmann::json> &answer) {
        answered(asked, answer);
    };
    hooks_.askPeer_(newer_->node_.linkAddress_, internal::configurationType, body, settings_.timeout_, onAnswer);
}

void ConfigurationPeers::answered(const NewerNode &asked, const std::optional<nlohmann::json> &answer)
{
    isAsking_ = false;
    askAfter_ = hooks_.now_() + settings_.retryDelay_;
    const bool hasText = answer && answer->is_object() && answer->contains(internal::versionKey)
        && (*answer)[internal::versionKey].is_number_unsigned() && answer->contains(internal::textKey)
        && (*answer)[internal::textKey].is_string();
    const std::uint64_t before = hooks_.version_();
    const std::uint64_t version = hasText ? (*answer)[internal::versionKey].get<std::uint64_t>() : 0;
    if (version > before) {
        hooks_.apply_((*answer)[internal::textKey].get_ref<const std::string &>());
        if (hooks_.version_() <= before) {
            rejectedVersion_ = version;
        }
    }
    hooks_.logEvent_("configuration_fetched",
                     {{"peer", asked.node_.name_},
                      {"answered", answer.has_value()},
                      {"before", before},
                      {"version", version},
                      {"in_force", hooks_.version_()}});
}

bool ConfigurationPeers::onPeerRequest(const std::string &type,
                                       const nlohmann::json &body,
                                       const std::function<void(const nlohmann::json &)> &answer) const
{
    if (type != internal::configurationType) {
        return false;
    }
    const bool isRequest =
        body.is_object() && body.contains(internal::haveKey) && body[internal::haveKey].is_number_unsigned();
    if (isRequest && offeredVersion() > body[internal::haveKey].get<std::uint64_t>()) {
        answer({{internal::versionKey, version_}, {internal::textKey, text_}});
    } else {
        answer(nlohmann::json::object());
    }
    return true;
}

} // namespace filbertgw
