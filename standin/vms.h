#ifndef FILBERTGW_STANDIN_VMS_H
#define FILBERTGW_STANDIN_VMS_H

#include "standin.h"

#include <deque>

namespace filbertgw::standin {

/** \brief Settings of the VM list. */
struct VmsOptions
{
    std::string address_ = "127.0.0.1:0";
    Duration late_{0}; ///< The list is shown as it was so long ago.
    nlohmann::json vms_ = nlohmann::json::array();
};

/** \brief The platform's VM list: `GET /vms`, changed by `POST /control`. */
class Vms
{
public:
    Vms(IoLoop &loop, VmsOptions options);

    const HttpServer &server() const;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    const nlohmann::json &shown();

    IoLoop &loop_;
    VmsOptions options_;
    std::deque<std::pair<Time, nlohmann::json>> versions_; ///< Oldest first; the first is shown.
    std::unique_ptr<HttpServer> server_;
};

/** \brief Parses `name=N,address=HOST:PORT,domain=D[,state=live|leaving]`; null if it isn't that. */
nlohmann::json parseVm(const std::string &text);

} // namespace filbertgw::standin

#endif
