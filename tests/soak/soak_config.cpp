/// Text of the desired state.
#include "soak_config.hpp"

namespace eelgrassrail::soak
{
namespace
{

std::string rule(const std::string& name, bool is_idempotent, const std::string& service)
{
    return R"({"name":")" + name + R"(","kind":")" + (is_idempotent ? "safe" : "unsafe") +
           R"(","target_latency":"300ms","priority":)" + (is_idempotent ? "1" : "0") +
           R"(,"match":{"path_prefix":"/)" + name + R"(/"},"action":{"service":")" + service +
           R"(","timeout":"1500ms","max_attempts":3}})";
}

} // namespace

std::string config_text(unsigned version)
{
    return R"({"version":"r)" + std::to_string(version) +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
           R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"soak","rules":[)" +
           rule("read", true, "keys") + "," + rule("file", false, "keys") + "," +
           rule("look", true, "plain") + "," + rule("book", false, "plain") +
           R"(]}],"clusters":[{"name":"keys","max_connections":100,"sharded":true,"warm":"1s","cold_per_s":6.2},)"
           R"({"name":"plain","max_connections":100,"cold_per_s":6.2}]})";
}

} // namespace eelgrassrail::soak
