#include "blackboard/blackboard.h"

#include <nlohmann/json.hpp>

namespace filbertgw {

Blackboard::Blackboard() = default;
Blackboard::~Blackboard() = default;

void Blackboard::setDumper(const std::string &name, std::function<nlohmann::json()> dumper)
{
    dumpers_[name] = std::move(dumper);
}

nlohmann::json Blackboard::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const std::pair<const std::string, std::function<nlohmann::json()>> &entry : dumpers_) {
        result[entry.first] = entry.second();
    }
    return result;
}

} // namespace filbertgw
