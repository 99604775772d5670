#include "vms.h"

#include <algorithm>

namespace filbertgw::standin {

namespace {

bool isVm(const nlohmann::json &vm)
{
    if (!vm.is_object()) {
        return false;
    }
    for (const char *field : {"name", "address", "domain", "state"}) {
        if (!vm.contains(field) || !vm[field].is_string() || vm[field].get_ref<const std::string &>().empty()) {
            return false;
        }
    }
    return vm["state"] == "live" || vm["state"] == "leaving";
}

bool isVmList(const nlohmann::json &vms)
{
    return vms.is_array() && std::all_of(vms.begin(), vms.end(), isVm);
}

} // namespace

nlohmann::json parseVm(const std::string &text)
{
    nlohmann::json vm{{"state", "live"}};
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t end = std::min(text.find(',', position), text.size());
        const std::string pair = text.substr(position, end - position);
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos) {
            return nullptr;
        }
        vm[pair.substr(0, equals)] = pair.substr(equals + 1);
        position = end + 1;
    }
    return isVm(vm) ? vm : nlohmann::json();
}

Vms::Vms(IoLoop &loop, VmsOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , versions_{{loop.now(), options_.vms_}}
    , server_(listenOrExit(
          loop, options_.address_, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
              handle(request, reply);
          }))
{
}

const HttpServer &Vms::server() const
{
    return *server_;
}

const nlohmann::json &Vms::shown()
{
    while (versions_.size() > 1 && versions_[1].first + options_.late_ <= loop_.now()) {
        versions_.pop_front();
    }
    return versions_.front().second;
}

void Vms::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const Target target = parseTarget(request.target_);
    if (request.method_ == "GET" && target.path_ == "/vms") {
        sendJson(reply, 200, shown());
    } else if (request.method_ == "POST" && target.path_ == "/control") {
        control(request, reply);
    } else {
        sendError(reply, 404, "not_found", "no such resource");
    }
}

void Vms::control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    constexpr std::size_t maximumVersions = 10'000;
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    if (!body.is_object() || versions_.size() >= maximumVersions) {
        sendError(reply, 400, "invalid_request", "not a JSON object, or too many changes at once");
        return;
    }
    updateDuration(options_.late_, body, "late_ms");
    nlohmann::json vms = body.contains("vms") ? body["vms"] : versions_.back().second;
    if (!isVmList(vms) || (body.contains("set") && !isVm(body["set"]))) {
        sendError(reply, 400, "invalid_request", "each VM needs name, address, domain and state live or leaving");
        return;
    }
    if (body.contains("set")) {
        const nlohmann::json &vm = body["set"];
        const auto sameName = [&vm](const nlohmann::json &other) { return other["name"] == vm["name"]; };
        const auto found = std::find_if(vms.begin(), vms.end(), sameName);
        if (found == vms.end()) {
            vms.push_back(vm);
        } else {
            *found = vm;
        }
    }
    if (body.contains("remove")) {
        const auto isNamed = [&body](const nlohmann::json &vm) { return vm["name"] == body["remove"]; };
        vms.erase(std::remove_if(vms.begin(), vms.end(), isNamed), vms.end());
    }
    versions_.emplace_back(loop_.now(), vms);
    sendJson(reply, 200, vms);
}

int runVms(int argc, char **argv)
{
    VmsOptions options;
    const auto addVm = [&options](const std::string &value) {
        options.vms_.push_back(parseVm(value));
        return options.vms_.back().is_object();
    };
    options.address_ = parseServerOptions(
        argc,
        argv,
        "vms",
        {durationOption("late-ms", "age of the list that is shown", options.late_),
         Option{"vm", "name=N,address=HOST:PORT,domain=D[,state=live|leaving]; repeated", true, addVm}});
    return run<Vms>(options);
}

} // namespace filbertgw::standin
