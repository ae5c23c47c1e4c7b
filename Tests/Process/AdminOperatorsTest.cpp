#include "Process/AdminOperators.h"

#include <catch2/catch.hpp>

#include "Version/ConfigRecords.h"

using namespace wisteria;
using namespace wisteria::test;

TEST_CASE("An account is found by the SHA-256 of its token")
{
    // The digest of "abc" in FIPS 180-2.
    const std::string digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    CHECK(sha256Of("abc") == digest);
    const std::vector<OperatorAccount> accounts = {{"ana", digest, false, {}, {}}};
    REQUIRE(accountOf(accounts, "abc") != nullptr);
    CHECK(accountOf(accounts, "abc")->name == "ana");
    CHECK(accountOf(accounts, "abd") == nullptr);
    CHECK(accountOf(accounts, "") == nullptr);
}

// An operator with an account for one service and one organisation must not change other objects,
// and must not move a backend server from another service to the account's service.
TEST_CASE("An operator can change only objects that the account covers")
{
    ConfigState state;
    v1::ChangeRecord base = emptyChange("change-base");
    addSet(base, serviceObject("lookup"));
    addSet(base, serviceObject("chat"));
    addSet(base, serverObject("c1", "chat", 7001));
    addSet(base, organisationObject("andf"));
    REQUIRE(replayRecord(state, recordOf(1, base)).accepted);
    const OperatorAccount admin{"ana", "", false, {}, {}};
    const OperatorAccount reader{"rui", "", true, {}, {}};
    const OperatorAccount limited{"eva", "", false, {"lookup"}, {"andf"}};
    const auto allows = [&](const OperatorAccount &account, const v1::Object &object) {
        v1::ChangeRecord change = emptyChange("change-x");
        addSet(change, object);
        return checkPermission(account, state, change).has_value();
    };
    CHECK(allows(admin, serviceObject("chat")));
    CHECK_FALSE(allows(reader, serviceObject("lookup")));
    CHECK(allows(limited, serviceObject("lookup")));
    CHECK(allows(limited, serverObject("l1", "lookup", 7002)));
    CHECK(allows(limited, organisationObject("andf")));
    CHECK_FALSE(allows(limited, serviceObject("chat")));
    CHECK_FALSE(allows(limited, serverObject("c2", "chat", 7002)));
    CHECK_FALSE(allows(limited, serverObject("c1", "lookup", 7001)));
    CHECK_FALSE(allows(limited, organisationObject("kalahari")));
    CHECK_FALSE(allows(limited, policyObject("default")));
    v1::ChangeRecord removal = emptyChange("change-x");
    addRemoval(removal, v1::OBJECT_KIND_BACKEND_SERVER, "c1", 1);
    CHECK_FALSE(checkPermission(limited, state, removal).has_value());
}
