#include <cstdio>

int main()
{
    std::puts("filbertgw 0.1.0");
    return 0;
}
