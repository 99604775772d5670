#include "slopes/slopes.h"

#include <malloc.h>

#include <cstdio>
#include <map>

namespace filbertgw::bench {

namespace {

using SlopeSets = std::map<std::string, std::function<void(const Emit &)>>;

SlopeSets &slopeSets()
{
    static SlopeSets sets;
    return sets;
}

} // namespace

SlopeSet::SlopeSet(const std::string &name, std::function<void(const Emit &)> measure)
{
    slopeSets()[name] = std::move(measure);
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

} // namespace filbertgw::bench

int main(int argc, char **argv)
{
    using namespace filbertgw::bench;
    const std::string only = argc > 1 ? argv[1] : "";
    for (const std::pair<const std::string, std::function<void(const Emit &)>> &entry : slopeSets()) {
        if (!only.empty() && entry.first != only) {
            continue;
        }
        entry.second([&entry](const nlohmann::json &line) {
            nlohmann::json named = line;
            named["set"] = entry.first;
            std::printf("%s\n", named.dump().c_str());
            std::fflush(stdout);
        });
    }
    return 0;
}
