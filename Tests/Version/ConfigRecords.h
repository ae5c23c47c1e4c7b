#pragma once

#include <string>

#include "Version/ChangeValidation.h"
#include "Version/ConfigObject.h"
#include "Version/ConfigState.h"

namespace wisteria::test {

inline v1::Object policyObject(const std::string &name)
{
    v1::Object object;
    v1::RoutingPolicy &policy = *object.mutable_routing_policy();
    policy.set_name(name);
    policy.set_load_weight(1);
    policy.set_max_attempts(2);
    policy.set_retry_ratio(0.1);
    return object;
}

inline v1::Object serviceObject(const std::string &name, std::uint32_t queueBound = 8)
{
    v1::Object object;
    v1::Service &service = *object.mutable_service();
    service.set_name(name);
    service.set_queue_bound(queueBound);
    service.set_default_deadline_ms(1000);
    service.set_max_body_bytes(4096);
    return object;
}

inline v1::Object serverObject(const std::string &name, const std::string &service, int port)
{
    v1::Object object;
    v1::BackendServer &server = *object.mutable_backend_server();
    server.set_name(name);
    server.set_service(service);
    server.set_agent_address("127.0.0.1:" + std::to_string(port));
    server.set_failure_domain("a");
    server.set_vm("vm-" + name);
    server.set_concurrency(4);
    return object;
}

inline v1::Object organisationObject(const std::string &name)
{
    v1::Object object;
    v1::Organisation &organisation = *object.mutable_organisation();
    organisation.set_name(name);
    organisation.set_requests_per_second(10);
    organisation.set_burst(10);
    organisation.set_concurrency(10);
    return object;
}

/// A valid change that contains no object changes yet.
inline v1::ChangeRecord emptyChange(const std::string &id, Offset basePosition = 0)
{
    v1::ChangeRecord change;
    change.set_change_id(id);
    change.set_who("ana");
    change.set_why("test");
    change.set_rules_version(newestRules);
    change.set_base_position(basePosition);
    return change;
}

inline void addSet(v1::ChangeRecord &change, const v1::Object &object, Offset base = 0)
{
    const ObjectKey key = keyOf(object);
    v1::ObjectChange &entry = *change.add_changes();
    entry.set_kind(key.kind);
    entry.set_name(key.name);
    entry.set_base_version(base);
    *entry.mutable_content() = object;
}

inline void addRemoval(v1::ChangeRecord &change, v1::ObjectKind kind, const std::string &name,
                       Offset base)
{
    v1::ObjectChange &entry = *change.add_changes();
    entry.set_kind(kind);
    entry.set_name(name);
    entry.set_base_version(base);
    entry.set_remove(true);
}

inline LogRecord recordOf(Offset offset, const v1::ChangeRecord &change)
{
    v1::ConfigRecord record;
    *record.mutable_change() = change;
    return {offset, record.SerializeAsString()};
}

inline LogRecord recordOf(Offset offset, const v1::SnapshotRecord &snapshot)
{
    v1::ConfigRecord record;
    *record.mutable_snapshot() = snapshot;
    return {offset, record.SerializeAsString()};
}

/// A record that creates one service.
inline LogRecord serviceRecord(Offset offset, const std::string &name)
{
    v1::ChangeRecord change = emptyChange("change-" + name, offset - 1);
    addSet(change, serviceObject(name));
    return recordOf(offset, change);
}

} // namespace wisteria::test
