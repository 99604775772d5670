#include "standin.h"

#include <cstdio>
#include <cstring>

int main(int argc, char **argv)
{
    using Run = int (*)(int, char **);
    const std::map<std::string, Run> commands{{"engine", filbertgw::standin::runEngine},
                                              {"tool", filbertgw::standin::runTool},
                                              {"log", filbertgw::standin::runLog},
                                              {"vms", filbertgw::standin::runVms}};
    const auto found = argc > 1 ? commands.find(argv[1]) : commands.end();
    if (found != commands.end()) {
        return found->second(argc - 1, argv + 1);
    }
    const bool asksForHelp = argc > 1 && std::strcmp(argv[1], "--help") == 0;
    std::fprintf(asksForHelp ? stdout : stderr, "usage: filbertgw-standin engine|tool|log|vms [options]\n");
    return asksForHelp ? 0 : 2;
}
