#ifndef FILBERTGW_CLI_EXPLAIN_H
#define FILBERTGW_CLI_EXPLAIN_H

#include <iosfwd>
#include <string>

namespace filbertgw {

/**
 * \brief Prints the log lines of one request or program from any number of nodes, sorted by time.
 *
 * Selects the lines whose request, program or previous turn is the id; for a request also the lines of its program.
 * \return the number of lines printed.
 */
std::size_t explainRequest(const std::string &id, std::istream &logs, std::ostream &out);

} // namespace filbertgw

#endif
