#include "node/vmlist.h"

namespace filbertgw {
namespace internal {
namespace {

// Short enough that an endpoint gets no new work later than 3 s after it is listed as leaving.
constexpr Duration vmListPeriod = std::chrono::milliseconds(500);
constexpr Duration vmListTimeout = std::chrono::seconds(2);

std::string vmField(const nlohmann::json &vm, const char *name)
{
    return vm.contains(name) && vm[name].is_string() ? vm[name].get<std::string>() : "";
}

} // namespace
} // namespace internal

VmList::VmList(const NodeHooks &hooks, std::string address, Received received)
    : hooks_(hooks)
    , address_(std::move(address))
    , received_(std::move(received))
{
}

void VmList::tick()
{
    if (address_.empty() || isPolling_ || hooks_.now_() < nextPollAt_) {
        return;
    }
    isPolling_ = true;
    nextPollAt_ = hooks_.now_() + internal::vmListPeriod;
    HttpCall call;
    call.address_ = address_;
    call.request_.method_ = "GET";
    call.request_.target_ = "/vms";
    call.timeout_ = internal::vmListTimeout;
    call.onDone_ = [this](const HttpResult &result) {
        isPolling_ = false;
        const nlohmann::json list = nlohmann::json::parse(result.body_, nullptr, false);
        if (result.outcome_ == HttpOutcome::Complete && result.status_ == 200 && list.is_array()) {
            applyList(list);
        }
    };
    hooks_.startHttp_(std::move(call));
}

void VmList::applyList(const nlohmann::json &list)
{
    std::vector<Vm> vms;
    for (const nlohmann::json &item : list) {
        if (!item.is_object()) {
            continue;
        }
        Vm vm;
        vm.name_ = internal::vmField(item, "name");
        vm.domain_ = internal::vmField(item, "domain");
        vm.address_ = internal::vmField(item, "address");
        vm.leaving_ = internal::vmField(item, "state") == "leaving";
        vm.fields_ = item;
        vms.push_back(vm);
    }
    received_(vms);
}

} // namespace filbertgw
