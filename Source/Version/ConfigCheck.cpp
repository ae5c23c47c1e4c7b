#include "Version/ConfigCheck.h"

#include <cmath>
#include <set>

#include <arpa/inet.h>

#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

using boost::outcome_v2::success;

auto badInput(const std::string &what, const std::string &remedy)
{
    return failure(ErrorKind::BadInput, what + "; " + remedy);
}

bool isName(const std::string &name)
{
    if (name.empty() || name.size() > limits::nameLength)
        return false;
    if (std::isalnum(static_cast<unsigned char>(name.front())) == 0)
        return false;
    for (const char letter : name) {
        const bool plain = (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
        if (!plain && letter != '-' && letter != '.' && letter != '_')
            return false;
    }
    return true;
}

Result<void> checkName(const ObjectKey &key)
{
    if (isName(key.name))
        return success();
    return badInput(
        describeKey(key) + " is not a name",
        "use up to 63 lower-case letters, digits, '-', '_' and '.', beginning with a letter "
        "or digit");
}

/// Whether the text is an IP address and a port, "127.0.0.1:7001" or "[::1]:7001".
bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    const std::string port = text.substr(colon + 1);
    if (port.empty() || port.size() > 5
        || port.find_first_not_of("0123456789") != std::string::npos)
        return false;
    if (std::stoul(port) == 0 || std::stoul(port) > 65535)
        return false;
    std::string host = text.substr(0, colon);
    in6_addr ignored = {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &ignored) == 1;
    return inet_pton(AF_INET, host.c_str(), &ignored) == 1;
}

/// Whether a number is a valid weight: finite and not negative.
bool isWeight(double value)
{
    return std::isfinite(value) && value >= 0;
}

/// "service 'lookup' has retry_ratio 1.5", without trailing zeros.
std::string describeField(const std::string &subject, const char *field, double value)
{
    std::string number = std::to_string(value);
    number.erase(number.find_last_not_of('0') + 1);
    if (number.back() == '.')
        number.pop_back();
    return subject + " has " + field + " " + number;
}

Result<void> checkRange(const std::string &subject, const char *field, std::uint64_t value,
                        std::uint64_t low, std::uint64_t high)
{
    if (value >= low && value <= high)
        return success();
    return badInput(subject + " has " + field + " " + std::to_string(value),
                    "give a number from " + std::to_string(low) + " to " + std::to_string(high));
}

Result<void> checkExpertSpread(const std::string &subject, const v1::ExpertSpread &spread)
{
    BOOST_OUTCOME_TRY(checkRange(subject, "expert_spread.ranks", spread.ranks(), 1, limits::ranks));
    BOOST_OUTCOME_TRY(checkRange(subject, "expert_spread.layers", spread.layers(), 1, 1024));
    BOOST_OUTCOME_TRY(checkRange(subject, "expert_spread.experts", spread.experts(), 1, 65536));
    BOOST_OUTCOME_TRY(checkRange(subject, "expert_spread.slots_per_rank", spread.slots_per_rank(),
                                 1, spread.experts()));
    const std::uint64_t slots = std::uint64_t(spread.ranks()) * spread.slots_per_rank();
    if (slots < spread.experts()) {
        return badInput(subject + " has " + std::to_string(slots) + " slots for "
                            + std::to_string(spread.experts()) + " experts",
                        "raise ranks or slots_per_rank until each expert has a slot");
    }
    if (!isWeight(spread.skew_weight()) || !isWeight(spread.cost_weight()))
        return badInput(subject + " has a skew_weight or cost_weight below zero", "give 0 or more");
    if (spread.skew_weight() + spread.cost_weight() <= 0) {
        return badInput(subject + " has skew_weight and cost_weight that sum to nothing",
                        "give at least one of them a value above 0");
    }
    return success();
}

Result<void> checkService(const v1::Service &service)
{
    const std::string subject = describeKey({v1::OBJECT_KIND_SERVICE, service.name()});
    BOOST_OUTCOME_TRY(
        checkRange(subject, "queue_bound", service.queue_bound(), 0, limits::queueBound));
    BOOST_OUTCOME_TRY(checkRange(subject, "default_deadline_ms", service.default_deadline_ms(), 1,
                                 limits::deadlineMs));
    BOOST_OUTCOME_TRY(
        checkRange(subject, "max_body_bytes", service.max_body_bytes(), 1, limits::bodyBytes));
    if (service.has_expert_spread())
        return checkExpertSpread(subject, service.expert_spread());
    return success();
}

Result<void> checkBackendServer(const v1::BackendServer &server)
{
    const std::string subject = describeKey({v1::OBJECT_KIND_BACKEND_SERVER, server.name()});
    if (!isAddress(server.agent_address())) {
        return badInput(subject + " has agent_address '" + server.agent_address() + "'",
                        "give the agent's IP number and port, such as 10.0.0.7:7001");
    }
    if (server.failure_domain().size() > limits::nameLength
        || server.vm().size() > limits::nameLength) {
        return badInput(subject + " has a vm or failure_domain longer than 63 characters",
                        "use the platform's own short names");
    }
    if (server.failure_domain().empty()) {
        return badInput(subject + " names no failure_domain",
                        "name the one its VM is in, so that requests are spread over all of them");
    }
    if (server.vm().empty())
        return badInput(subject + " names no vm", "give the VM's name in the platform's list");
    return checkRange(subject, "concurrency", server.concurrency(), 1, limits::concurrency);
}

Result<void> checkOrganisation(const v1::Organisation &organisation)
{
    const std::string subject = describeKey({v1::OBJECT_KIND_ORGANISATION, organisation.name()});
    const double rate = organisation.requests_per_second();
    if (!std::isfinite(rate) || rate < 0 || rate > limits::requestsPerSecond)
        return badInput(describeField(subject, "requests_per_second", rate),
                        "give a number above 0, up to 1000000");
    if (rate == 0) {
        return badInput(subject + " has a quota of 0 requests_per_second",
                        "give its real rate; to shut an organisation out, remove it");
    }
    BOOST_OUTCOME_TRY(checkRange(subject, "concurrency", organisation.concurrency(), 1,
                                 limits::concurrency * 10));
    if (organisation.burst() == 0) {
        return badInput(subject + " has burst 0, with which no request is ever admitted",
                        "give at least 1; a second's worth of requests is usual");
    }
    if (organisation.burst() > std::max(1.0, rate * limits::burstSeconds)) {
        return badInput(subject + " has burst " + std::to_string(organisation.burst())
                            + ", more than ten minutes of its requests_per_second",
                        "lower burst or raise requests_per_second, the two contradict each other");
    }
    BOOST_OUTCOME_TRY(
        checkRange(subject, "max_priority", organisation.max_priority(), 0, limits::priority));
    std::set<std::string> services;
    for (const std::string &service : organisation.services()) {
        if (!services.insert(service).second)
            return badInput(subject + " lists service '" + service + "' twice", "list it once");
    }
    return success();
}

Result<void> checkRoutingPolicy(const v1::RoutingPolicy &policy)
{
    const std::string subject = describeKey({v1::OBJECT_KIND_ROUTING_POLICY, policy.name()});
    const double weights[] = {policy.load_weight(), policy.affinity_weight(),
                              policy.domain_weight()};
    double sum = 0;
    for (const double weight : weights) {
        if (!isWeight(weight))
            return badInput(subject + " has a weight that is below zero or no number",
                            "give 0 or more");
        sum += weight;
    }
    if (sum <= 0) {
        return badInput(subject + " has weights that sum to nothing",
                        "give load_weight, affinity_weight or domain_weight a value above 0");
    }
    if (!isWeight(policy.retry_ratio()) || policy.retry_ratio() > 1)
        return badInput(describeField(subject, "retry_ratio", policy.retry_ratio()),
                        "give a number from 0 to 1");
    BOOST_OUTCOME_TRY(
        checkRange(subject, "max_attempts", policy.max_attempts(), 1, limits::attempts));
    if (policy.max_attempts() == 1 && policy.retry_ratio() > 0) {
        return badInput(subject + " allows retries by retry_ratio but only 1 attempt",
                        "raise max_attempts, or set retry_ratio to 0");
    }
    if (policy.max_attempts() > 1 && policy.retry_ratio() == 0) {
        return badInput(subject + " allows " + std::to_string(policy.max_attempts())
                            + " attempts but a retry_ratio of 0",
                        "raise retry_ratio, or set max_attempts to 1");
    }
    if (policy.subset_size() == 1) {
        return badInput(
            subject + " has subset_size 1, with which one dead backend server stops an entry",
            "give 0 for all, or at least 2");
    }
    return success();
}

std::string describeReference(const ObjectKey &referrer, const ObjectKey &referenced)
{
    return describeKey(referrer) + " uses " + describeKey(referenced);
}

Result<void> checkExists(const ConfigView &after, const ObjectKey &referrer,
                         const ObjectKey &referenced)
{
    if (after.find(referenced) != nullptr)
        return success();
    return failure(ErrorKind::Conflict,
                   describeReference(referrer, referenced)
                       + ", which does not exist; correct the name, or create it in "
                         "the same change");
}

/// Keys of the objects that one object references.
std::vector<ObjectKey> referencesOf(const v1::Object &object)
{
    std::vector<ObjectKey> referenced;
    if (object.has_service() && !object.service().routing_policy().empty())
        referenced.push_back({v1::OBJECT_KIND_ROUTING_POLICY, object.service().routing_policy()});
    if (object.has_backend_server())
        referenced.push_back({v1::OBJECT_KIND_SERVICE, object.backend_server().service()});
    if (object.has_organisation()) {
        for (const std::string &service : object.organisation().services())
            referenced.push_back({v1::OBJECT_KIND_SERVICE, service});
    }
    return referenced;
}

/// Refuses a change that removes an object which another object still references.
Result<void> checkNotUsed(const ConfigView &after, const std::set<ObjectKey> &removed)
{
    std::optional<std::string> problem;
    const auto visit = [&](const v1::Object &object) {
        for (const ObjectKey &referenced : referencesOf(object)) {
            if (!problem && removed.contains(referenced))
                problem = describeReference(keyOf(object), referenced);
        }
    };
    after.forEach(v1::OBJECT_KIND_SERVICE, visit);
    after.forEach(v1::OBJECT_KIND_BACKEND_SERVER, visit);
    after.forEach(v1::OBJECT_KIND_ORGANISATION, visit);
    if (!problem)
        return success();
    return failure(ErrorKind::Conflict,
                   *problem
                       + ", which this change removes; change or remove the user first, or in "
                         "the same change");
}

Result<void> checkAddressesUnique(const ConfigView &after)
{
    std::map<std::string, std::string> serverByAddress;
    std::optional<std::string> problem;
    after.forEach(v1::OBJECT_KIND_BACKEND_SERVER, [&](const v1::Object &object) {
        const v1::BackendServer &server = object.backend_server();
        const auto [firstServer, inserted] =
            serverByAddress.emplace(server.agent_address(), server.name());
        if (!inserted && !problem) {
            problem = "backend servers '" + firstServer->second + "' and '" + server.name()
                + "' share agent_address " + server.agent_address();
        }
    });
    if (!problem)
        return success();
    return failure(ErrorKind::Conflict,
                   *problem + "; give each backend server its own agent's address");
}

/// Refuses a change that moves an existing backend server to another service.
Result<void> checkSameService(const ConfigState &before, const v1::Object &after)
{
    const auto existing = before.objects.find(keyOf(after));
    if (!after.has_backend_server() || existing == before.objects.end())
        return success();
    const std::string &oldService = existing->second.object().backend_server().service();
    if (oldService == after.backend_server().service())
        return success();
    return failure(ErrorKind::Conflict,
                   describeKey(keyOf(after)) + " would move from service '" + oldService + "' to '"
                       + after.backend_server().service()
                       + "'; drain and remove it, then create it under a new name");
}

} // namespace

Result<void> checkShape(const v1::ChangeRecord &change)
{
    const std::size_t idLength = change.change_id().size();
    if (idLength < limits::changeIdLengthMin || idLength > limits::changeIdLength)
        return badInput("the change id is " + std::to_string(idLength) + " characters long",
                        "give 8 to 64, a UUID is usual");
    if (change.who().empty())
        return badInput("the change does not say who makes it",
                        "give the operator's name with --who");
    if (change.who().size() > limits::nameLength)
        return badInput("the operator's name is longer than 63 characters", "shorten it");
    if (change.why().empty())
        return badInput("the change does not say why", "give the reason with --why");
    if (change.why().size() > limits::whyLength)
        return badInput("the reason is longer than 400 characters", "shorten it or name a ticket");
    if (change.cancel())
        return success();
    if (change.changes().empty())
        return badInput("the change is empty", "list at least one object");
    if (change.changes_size() > limits::changesPerRecord)
        return badInput("the change touches " + std::to_string(change.changes_size()) + " objects",
                        "split it into changes of at most 10000");
    std::set<ObjectKey> keys;
    for (const v1::ObjectChange &entry : change.changes()) {
        const ObjectKey key{entry.kind(), entry.name()};
        if (key.kind < v1::OBJECT_KIND_SERVICE || key.kind > v1::OBJECT_KIND_ROUTING_POLICY)
            return badInput("an entry of the change has no known kind", "upgrade wisteriactl");
        BOOST_OUTCOME_TRY(checkName(key));
        if (!keys.insert(key).second)
            return badInput(describeKey(key) + " occurs twice in one change",
                            "keep one of the two");
        if (entry.remove() == entry.has_content())
            return badInput(describeKey(key) + " must be either set or removed",
                            "give content or remove, not both");
        if (!entry.remove() && keyOf(entry.content()) != key)
            return badInput(describeKey(key) + " carries the content of "
                                + describeKey(keyOf(entry.content())),
                            "make name and content agree");
    }
    return success();
}

Result<void> checkObject(const v1::Object &object)
{
    BOOST_OUTCOME_TRY(checkName(keyOf(object)));
    if (object.has_service())
        return checkService(object.service());
    if (object.has_backend_server())
        return checkBackendServer(object.backend_server());
    if (object.has_organisation())
        return checkOrganisation(object.organisation());
    if (object.has_routing_policy())
        return checkRoutingPolicy(object.routing_policy());
    return badInput("an object has no content",
                    "give a service, backend server, organisation or policy");
}

Result<void> checkReferences(const ConfigState &before, const v1::ChangeRecord &change)
{
    const ConfigView after(before, change);
    std::set<ObjectKey> removed;
    bool touchesBackendServers = false;
    for (const v1::ObjectChange &entry : change.changes()) {
        if (entry.remove()) {
            removed.insert({entry.kind(), entry.name()});
            continue;
        }
        touchesBackendServers |= entry.kind() == v1::OBJECT_KIND_BACKEND_SERVER;
        BOOST_OUTCOME_TRY(checkSameService(before, entry.content()));
        for (const ObjectKey &referenced : referencesOf(entry.content())) {
            BOOST_OUTCOME_TRY(checkExists(after, {entry.kind(), entry.name()}, referenced));
        }
    }
    if (!removed.empty()) {
        BOOST_OUTCOME_TRY(checkNotUsed(after, removed));
    }
    if (touchesBackendServers)
        return checkAddressesUnique(after);
    return success();
}

} // namespace wisteria
