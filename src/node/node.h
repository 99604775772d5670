#ifndef FILBERTGW_NODE_NODE_H
#define FILBERTGW_NODE_NODE_H

#include "core/failure.h"
#include "core/settings.h"

#include <memory>

namespace filbertgw {

/** \brief A node process: NodeCore with its sockets and timers on one IoLoop. */
class Node
{
public:
    /** \brief Opens the sockets. \return a Conflict failure if an address can't be bound. */
    static Result<std::unique_ptr<Node>> open(const Settings &settings);
    ~Node();

    /** \brief Runs until a planned stop is complete. \return the exit status. */
    int run();

private:
    struct Private;
    explicit Node(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

/** \brief Runs `filbertgw serve`. \return the exit status. */
int serveNode(const Settings &settings);

} // namespace filbertgw

#endif
