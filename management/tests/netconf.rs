//! Tests of NETCONF sessions without a network: each test passes messages to sessions, performs their operations on a
//! commit coordinator and checks the replies.

use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::commit_coordinator::{CommitCoordinator, SessionId};
use kestreltide_datastore::operational_state::OperationalState;
use kestreltide_datastore::*;
use kestreltide_management::netconf::session::{
    BASE_NAMESPACE, DatastoreOperation, Session, SessionAction,
};
use kestreltide_management::{CommitServiceHandle, state};
use kestreltide_yang::binding::Binding;
use kestreltide_yang::{published_schema, xml};
use proptest::prelude::*;
use rstest::rstest;

/// The time at which a fixture starts, in Unix seconds.
const START_TIME: f64 = 1_000_000.0;
const ALL_RIGHTS: Rights = Rights {
    read: true,
    weights: true,
    routes: true,
    rollout: true,
};

/// A commit coordinator with four hosts, and the handle through which sessions read its status.
struct Fixture {
    coordinator: CommitCoordinator,
    handle: CommitServiceHandle,
    /// Seconds since `START_TIME`.
    now: f64,
}

impl Fixture {
    fn new() -> Self {
        let rules = RuleSettings {
            operations: vec!["read".into()],
            routers: 1,
            slow_start_initial_fraction: 0.4,
            slow_start_duration: 4.0,
            overload_multiple: 3.0,
            maximums: Maximums::default(),
        };
        let mut coordinator =
            CommitCoordinator::new(Datastore::new(rules, HistoryLimits::default()), None);
        let mut candidate = Candidate::new(coordinator.store.in_force());
        for number in 0..4 {
            for (leaf, text) in [
                ("endpoint", format!("127.0.0.1:{}", 7000 + number)),
                ("zone", "a".into()),
                ("kind", "m".into()),
                ("build", "7".into()),
            ] {
                let path: Path = format!("hosts/h{number}/{leaf}").parse().expect("a path");
                candidate
                    .tree
                    .set(&path, Some(path.leaf().parse(&text).expect("a value")))
                    .expect("a value of the leaf's type");
            }
        }
        let author = Author {
            source: Source::Files,
            name: "files".into(),
            version: String::new(),
        };
        coordinator
            .commit(None, &candidate, author, None, None, &facts(-100.0))
            .expect("the first commit is valid");
        let handle = CommitServiceHandle {
            submit: Arc::new(|_| true),
            status: Arc::new(arc_swap::ArcSwap::from_pointee(coordinator.status())),
            operational_state: Arc::new(arc_swap::ArcSwap::from_pointee(OperationalState {
                discovery_received: true,
                ..OperationalState::default()
            })),
            applied_revision: Arc::default(),
            notifications: tokio::sync::broadcast::channel(4).0,
            keys: Arc::default(),
        };
        Fixture {
            coordinator,
            handle,
            now: 0.0,
        }
    }

    /// Opens a session and exchanges hello messages with base version 1.1.
    fn open_session(&mut self) -> Session {
        let schema = published_schema().expect("valid modules");
        let binding = Arc::new(Binding::new(schema).expect("a model that matches the datastore"));
        let mut session = Session::new(self.coordinator.open_session(), "ana", schema, binding);
        assert!(
            session
                .hello()
                .contains("<capability>urn:ietf:params:netconf:base:1.1</capability>")
        );
        let hello = format!(
            "<hello xmlns='{BASE_NAMESPACE}'><capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities></hello>"
        );
        assert!(
            matches!(session.handle_message(hello.as_bytes(), ALL_RIGHTS, &self.handle), SessionAction::Reply(reply) if reply.is_empty())
        );
        session
    }

    /// Handles an operation with all rights and returns the reply.
    fn rpc(&mut self, session: &mut Session, operation: &str) -> String {
        self.rpc_with_rights(session, operation, ALL_RIGHTS)
    }

    /// Handles an operation with the given rights and returns the reply.
    fn rpc_with_rights(
        &mut self,
        session: &mut Session,
        operation: &str,
        rights: Rights,
    ) -> String {
        let message =
            format!("<rpc xmlns='{BASE_NAMESPACE}' message-id='7' x='&lt;1'>{operation}</rpc>");
        match session.handle_message(message.as_bytes(), rights, &self.handle) {
            SessionAction::Reply(reply)
            | SessionAction::Close(reply)
            | SessionAction::Kill(_, reply)
            | SessionAction::Subscribe(reply) => reply,
            SessionAction::Abort(reason) => panic!("session aborted: {reason}"),
            SessionAction::Perform(operation) => {
                let result = self.perform_operation(session.id, session.author(), &operation);
                self.handle
                    .status
                    .store(Arc::new(self.coordinator.status()));
                session.complete_operation(&operation, result)
            }
        }
    }

    /// Performs an operation of a session on the commit coordinator.
    fn perform_operation(
        &mut self,
        id: SessionId,
        author: Author,
        operation: &DatastoreOperation,
    ) -> Result<(), kestreltide_datastore::commit_coordinator::CommitError> {
        let facts = facts(self.now);
        match operation.clone() {
            DatastoreOperation::Lock(target) => self.coordinator.lock(id, target),
            DatastoreOperation::Unlock(target) => self.coordinator.unlock(id, target),
            DatastoreOperation::Validate(candidate) => {
                Ok(self.coordinator.validate(&candidate, &facts)?)
            }
            DatastoreOperation::Commit {
                candidate,
                confirmed_commit,
                persist_id,
            } => self
                .coordinator
                .commit(
                    Some(id),
                    &candidate,
                    author,
                    confirmed_commit,
                    persist_id.as_deref(),
                    &facts,
                )
                .map(|_| ()),
            DatastoreOperation::ConfirmCommit { persist_id } => {
                self.coordinator.confirm(Some(id), persist_id.as_deref())
            }
            DatastoreOperation::CancelCommit { persist_id } => self
                .coordinator
                .cancel(Some(id), persist_id.as_deref(), &facts)
                .map(|_| ()),
        }
    }

    /// Sets the time, and rolls back a pending commit that has expired.
    fn advance_to(&mut self, now: f64) {
        self.now = now;
        self.coordinator.expire_pending(&facts(now));
        self.handle
            .status
            .store(Arc::new(self.coordinator.status()));
    }

    /// The weight of a host in the revision in force.
    fn weight_in_force(&self, host: &str) -> Option<String> {
        let path = format!("hosts/{host}/weight").parse().expect("a path");
        self.coordinator
            .store
            .in_force()
            .tree
            .get(&path)
            .map(|value| value.to_string())
    }
}

/// The facts of a commit, `seconds` after `START_TIME`, while build 7 is released.
fn facts(seconds: f64) -> Facts {
    let outcome = AttemptOutcome::Succeeded;
    let rollout_status = RolloutStatus {
        outcome,
        build: BuildId(7),
        stage: 1,
        phase: Phase::Released,
        cap: 1.0,
        age: 1.0,
        answers_vote: false,
    };
    Facts {
        now: START_TIME + seconds,
        discovery_received: true,
        rollout: Some(rollout_status),
        ..Facts::default()
    }
}

/// A `config` element that sets the weight of a host.
fn weight_config(host: &str, weight: &str) -> String {
    config_element(&format!(
        "<hosts><host><name>{host}</name><weight>{weight}</weight></host></hosts>"
    ))
}

/// A `config` element with the given content of the container `router`.
fn config_element(inner: &str) -> String {
    format!("<config><router xmlns='urn:kestreltide:yang:router'>{inner}</router></config>")
}

/// An `edit-config` operation on a datastore.
fn edit_config(target: &str, config: &str) -> String {
    format!("<edit-config><target><{target}/></target>{config}</edit-config>")
}

/// Whether a reply is `ok` and repeats the attributes of its rpc.
fn is_ok(reply: &str) -> bool {
    reply
        == format!(
            "<rpc-reply xmlns=\"{BASE_NAMESPACE}\" message-id=\"7\" x=\"&lt;1\"><ok/></rpc-reply>"
        )
}

#[test]
fn candidate_edit_takes_effect_on_commit() {
    let mut fixture = Fixture::new();
    let mut session = fixture.open_session();
    assert!(is_ok(&fixture.rpc(
        &mut session,
        &edit_config("candidate", &weight_config("h1", "2"))
    )));
    let running = fixture.rpc(
        &mut session,
        "<get-config><source><running/></source></get-config>",
    );
    let candidate = fixture.rpc(
        &mut session,
        "<get-config><source><candidate/></source></get-config>",
    );
    assert!(
        !running.contains("<weight>")
            && candidate.contains("<name>h1</name><endpoint>127.0.0.1:7001</endpoint>")
            && candidate.contains("<weight>2.0</weight>")
    );
    let other = fixture.open_session();
    drop(other);
    assert!(
        is_ok(&fixture.rpc(&mut session, "<commit/>"))
            && fixture.weight_in_force("h1") == Some("2".into())
    );
    assert!(
        is_ok(&fixture.rpc(
            &mut session,
            &edit_config("candidate", &weight_config("h1", "3"))
        )) && is_ok(&fixture.rpc(&mut session, "<discard-changes/>"))
    );
    assert!(
        is_ok(&fixture.rpc(&mut session, "<commit/>"))
            && fixture.weight_in_force("h1") == Some("2".into())
    );
    assert!(
        is_ok(&fixture.rpc(
            &mut session,
            &edit_config("running", &weight_config("h1", "4"))
        )) && fixture.weight_in_force("h1") == Some("4".into())
    );
}

#[test]
fn second_commit_of_same_leaf_is_rejected_with_author_time_and_path() {
    let mut fixture = Fixture::new();
    let (mut first, mut second) = (fixture.open_session(), fixture.open_session());
    assert!(is_ok(&fixture.rpc(
        &mut first,
        &edit_config("candidate", &weight_config("h1", "2"))
    )));
    assert!(is_ok(&fixture.rpc(
        &mut second,
        &edit_config("candidate", &weight_config("h1", "3"))
    )));
    assert!(is_ok(&fixture.rpc(
        &mut second,
        &edit_config("candidate", &weight_config("h2", "3"))
    )));
    assert!(is_ok(&fixture.rpc(&mut first, "<commit/>")));
    let reply = fixture.rpc(&mut second, "<commit/>");
    for expected_part in [
        "<error-type>application</error-type><error-tag>operation-failed</error-tag>",
        "<error-path xmlns:kr=\"urn:kestreltide:yang:router\">/kr:router/kr:hosts/kr:host[kr:name=&apos;h1&apos;]/kr:weight</error-path>",
        "was changed since revision 1 by revision 2 (management by ana, version netconf session 1, 1970-01-12T13:46:40.000Z)",
    ] {
        assert!(reply.contains(expected_part), "{expected_part} in {reply}");
    }
    assert_eq!(
        (fixture.weight_in_force("h1"), fixture.weight_in_force("h2")),
        (Some("2".into()), None),
        "a rejected commit changes no leaf"
    );
    assert!(
        is_ok(&fixture.rpc(&mut second, "<discard-changes/>"))
            && is_ok(&fixture.rpc(
                &mut second,
                &edit_config("candidate", &weight_config("h1", "3"))
            ))
    );
    assert!(
        is_ok(&fixture.rpc(&mut second, "<commit/>"))
            && fixture.weight_in_force("h1") == Some("3".into())
    );
}

/// Rejected operations with the error-tag and a part of the reply. None of them commits a revision.
#[rstest]
#[case::unknown_host(&edit_config("running", &weight_config("nobody", "2")), "operation-failed", "hosts/nobody: no such host is listed")]
#[case::weight_out_of_range(&edit_config("running", &weight_config("h1", "1000")), "invalid-value", "/router/hosts/host[name=&apos;h1&apos;]/weight: is not in 0.01 to 100.0 (given: 1000")]
#[case::unknown_element(&edit_config("running", &config_element("<hosts><hots/></hosts>")), "unknown-element", "<bad-element>hots</bad-element>")]
#[case::unknown_namespace(&edit_config("running", "<config><router xmlns='urn:x'/></config>"), "unknown-namespace", "<bad-namespace>urn:x</bad-namespace>")]
#[case::all_hosts_deleted(&edit_config("running", &config_element("<hosts xmlns:nc='urn:ietf:params:xml:ns:netconf:base:1.0' nc:operation='delete'/>")), "operation-failed", "too many are taken out of service")]
#[case::unknown_rollout_build(&edit_config("running", &config_element("<ring><build>8</build><back>true</back></ring>")), "operation-failed", "is not the build that the platform tells of")]
#[case::unknown_default_operation(
    "<edit-config><target><running/></target><default-operation>drop</default-operation><config/></edit-config>",
    "invalid-value",
    "default-operation: no such operation (given: drop"
)]
#[case::missing_target(
    "<edit-config><config/></edit-config>",
    "missing-element",
    "<bad-element>target</bad-element>"
)]
#[case::startup_datastore(
    "<get-config><source><startup/></source></get-config>",
    "invalid-value",
    "no such datastore (given: startup; taken: running or candidate)"
)]
#[case::copy_config(
    "<copy-config/>",
    "operation-not-supported",
    "taken: edit-config with replace"
)]
#[case::unknown_operation("<reboot/>", "operation-not-supported", "reboot: is not known here")]
#[case::unsupported_xpath(
    "<get><filter type='xpath' select='/router/count(x)'/></get>",
    "invalid-value",
    "is no path that is read here"
)]
#[case::xpath_without_match_in_model(
    "<get><filter type='xpath' select='/router/hots'/></get>",
    "invalid-value",
    "leads nowhere in the model"
)]
#[case::confirm_timeout_out_of_range(
    "<commit><confirmed/><confirm-timeout>0</confirm-timeout></commit>",
    "invalid-value",
    "confirm-timeout: is out of range (given: 0; taken: 1 to 86400 seconds)"
)]
#[case::no_pending_commit(
    "<commit><persist-id>x</persist-id></commit>",
    "invalid-value",
    "no commit of this session or name waits"
)]
#[case::lock_not_held(
    "<unlock><target><running/></target></unlock>",
    "operation-failed",
    "does not hold the lock"
)]
#[case::kill_own_session(
    "<kill-session><session-id>1</session-id></kill-session>",
    "invalid-value",
    "is no other session"
)]
#[case::unknown_stream(
    "<create-subscription xmlns='urn:ietf:params:xml:ns:netconf:notification:1.0'><stream>x</stream></create-subscription>",
    "invalid-value",
    "no such stream"
)]
#[case::unknown_model_rpc(
    "<reset xmlns='urn:kestreltide:yang:router'/>",
    "operation-not-supported",
    "taken: hold-trial, let-trial-go, take-trial-back"
)]
#[case::model_rpc_without_build(
    "<hold-trial xmlns='urn:kestreltide:yang:router'/>",
    "missing-element",
    "<bad-element>build</bad-element>"
)]
fn invalid_operation_is_rejected_without_commit(
    #[case] operation: &str,
    #[case] error_tag: &str,
    #[case] expected_part: &str,
) {
    let mut fixture = Fixture::new();
    let mut session = fixture.open_session();
    let before = fixture.coordinator.store.in_force().revision;
    let reply = fixture.rpc(&mut session, operation);
    assert!(
        reply.contains(&format!("<error-tag>{error_tag}</error-tag>"))
            && reply.contains(expected_part),
        "{reply}"
    );
    assert!(
        xml::parse(&reply, &xml::XmlLimits::default()).is_ok(),
        "{reply}"
    );
    assert_eq!(fixture.coordinator.store.in_force().revision, before);
}

#[test]
fn lock_denied_reply_names_lock_holder() {
    let mut fixture = Fixture::new();
    let (mut first, mut second) = (fixture.open_session(), fixture.open_session());
    assert!(is_ok(
        &fixture.rpc(&mut first, "<lock><target><candidate/></target></lock>")
    ));
    let reply = fixture.rpc(&mut second, "<lock><target><candidate/></target></lock>");
    assert!(
        reply.contains("<error-tag>lock-denied</error-tag>")
            && reply.contains("<session-id>1</session-id>"),
        "{reply}"
    );
    let reply = fixture.rpc(
        &mut second,
        &edit_config("running", &weight_config("h1", "2")),
    );
    assert!(
        reply.contains("<error-tag>lock-denied</error-tag>"),
        "{reply}"
    );
    fixture.coordinator.close_session(first.id, &facts(1.0));
    assert!(is_ok(&fixture.rpc(
        &mut second,
        &edit_config("running", &weight_config("h1", "2"))
    )));
}

#[test]
fn confirmed_commit_is_confirmed_cancelled_or_rolled_back_on_timeout() {
    let mut fixture = Fixture::new();
    let mut session = fixture.open_session();
    let confirmed_commit = "<commit><confirmed/><confirm-timeout>30</confirm-timeout></commit>";
    let commit_weight = |fixture: &mut Fixture, session: &mut Session, weight: &str| {
        assert!(
            is_ok(&fixture.rpc(
                session,
                &edit_config("candidate", &weight_config("h1", weight))
            )) && is_ok(&fixture.rpc(session, confirmed_commit))
        );
    };
    commit_weight(&mut fixture, &mut session, "2");
    assert!(is_ok(&fixture.rpc(&mut session, "<commit/>")));
    fixture.advance_to(100.0);
    assert_eq!(fixture.weight_in_force("h1"), Some("2".into()));
    commit_weight(&mut fixture, &mut session, "3");
    assert!(is_ok(&fixture.rpc(&mut session, "<cancel-commit/>")));
    assert_eq!(fixture.weight_in_force("h1"), Some("2".into()));
    commit_weight(&mut fixture, &mut session, "4");
    let mut other = fixture.open_session();
    let reply = fixture.rpc(
        &mut other,
        &edit_config("running", &weight_config("h2", "2")),
    );
    assert!(
        reply.contains("<error-tag>in-use</error-tag>") && reply.contains("waits to be confirmed"),
        "{reply}"
    );
    fixture.advance_to(131.0);
    assert_eq!(fixture.weight_in_force("h1"), Some("2".into()));
    assert!(is_ok(&fixture.rpc(
        &mut other,
        &edit_config("running", &weight_config("h2", "2"))
    )));
}

/// Rights, an operation, and whether the rights cover it.
#[rstest]
#[case::weights_right("read, weights", &edit_config("running", &weight_config("h1", "2")), true)]
#[case::missing_weights_right("read, routes", &edit_config("running", &weight_config("h1", "2")), false)]
#[case::routes_right("routes", &edit_config("running", &config_element("<routes><route><name>r</name><operation>read</operation></route></routes>")), true)]
#[case::missing_rollout_right(
    "read, weights, routes",
    "<take-trial-back xmlns='urn:kestreltide:yang:router'><build>7</build></take-trial-back>",
    false
)]
#[case::rollout_right(
    "ring",
    "<take-trial-back xmlns='urn:kestreltide:yang:router'><build>7</build></take-trial-back>",
    true
)]
#[case::missing_read_right("weights", "<get/>", false)]
#[case::read_right("read", "<get/>", true)]
fn rights_of_key_limit_operations(
    #[case] rights: &str,
    #[case] operation: &str,
    #[case] is_allowed: bool,
) {
    let mut fixture = Fixture::new();
    let mut session = fixture.open_session();
    let reply = fixture.rpc_with_rights(
        &mut session,
        operation,
        Rights::parse(rights).expect("rights"),
    );
    assert_eq!(
        !reply.contains("<error-tag>access-denied</error-tag>"),
        is_allowed,
        "{reply}"
    );
    assert_eq!(!reply.contains("rpc-error"), is_allowed, "{reply}");
}

#[test]
fn get_returns_state_and_filter_selects_from_it() {
    let mut fixture = Fixture::new();
    let mut session = fixture.open_session();
    let reply = fixture.rpc(
        &mut session,
        &edit_config("running", &weight_config("nobody", "2")),
    );
    assert!(reply.contains("rpc-error"));
    let state_reply = fixture.rpc(&mut session, "<get/>");
    for expected_part in [
        "<revision-record><number>1</number>",
        "<last-refusal>",
        "<running>true</running>",
        "<counts><taken>0</taken>",
    ] {
        assert!(
            state_reply.contains(expected_part),
            "{expected_part} in {state_reply}"
        );
    }
    let filtered_reply = fixture.rpc(
        &mut session,
        "<get><filter type='xpath' select='/router/state/counts/taken'/></get>",
    );
    assert!(filtered_reply.contains("<data><router xmlns=\"urn:kestreltide:yang:router\"><state><counts><taken>0</taken></counts></state></router></data>"), "{filtered_reply}");
    let schema_reply = fixture.rpc(&mut session, "<get-schema xmlns='urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring'><identifier>kestreltide-types</identifier></get-schema>");
    assert!(schema_reply.contains("typedef weight"), "{schema_reply}");
    let schema = published_schema().expect("valid modules");
    assert!(
        state::router_state(
            schema,
            &fixture.handle.operational_state.load(),
            &fixture.handle.status.load()
        )
        .is_some()
    );
}

/// Messages that are not valid RPCs, with the error-tag of the reply. The session still handles the next RPC.
#[rstest]
#[case::not_xml(b"rpc", "malformed-message")]
#[case::not_utf8(b"<rpc>\xff</rpc>", "malformed-message")]
#[case::document_type_declaration(
    b"<!DOCTYPE r [<!ENTITY a 'b'>]><rpc>&a;</rpc>",
    "malformed-message"
)]
#[case::second_hello(
    b"<hello xmlns='urn:ietf:params:xml:ns:netconf:base:1.0'/>",
    "malformed-message"
)]
#[case::missing_message_id(
    b"<rpc xmlns='urn:ietf:params:xml:ns:netconf:base:1.0'><get/></rpc>",
    "missing-attribute"
)]
#[case::missing_operation(
    b"<rpc xmlns='urn:ietf:params:xml:ns:netconf:base:1.0' message-id='1'/>",
    "missing-element"
)]
fn invalid_rpc_is_rejected_and_session_continues(#[case] message: &[u8], #[case] error_tag: &str) {
    let mut fixture = Fixture::new();
    let mut session = fixture.open_session();
    let SessionAction::Reply(reply) = session.handle_message(message, ALL_RIGHTS, &fixture.handle)
    else {
        panic!("no error reply")
    };
    assert!(
        reply.contains(&format!("<error-tag>{error_tag}</error-tag>")),
        "{reply}"
    );
    assert!(
        is_ok(&fixture.rpc(&mut session, "<discard-changes/>")),
        "the session continues"
    );
}

#[rstest]
#[case::rpc_before_hello(
    "<rpc xmlns='urn:ietf:params:xml:ns:netconf:base:1.0' message-id='1'><get/></rpc>"
)]
#[case::hello_without_base_version(
    "<hello xmlns='urn:ietf:params:xml:ns:netconf:base:1.0'><capabilities><capability>x</capability></capabilities></hello>"
)]
fn session_aborts_without_valid_hello(#[case] message: &str) {
    let mut fixture = Fixture::new();
    let schema = published_schema().expect("valid modules");
    let mut session = Session::new(
        fixture.coordinator.open_session(),
        "ana",
        schema,
        Arc::new(Binding::new(schema).expect("a model that matches the datastore")),
    );
    assert!(matches!(
        session.handle_message(message.as_bytes(), ALL_RIGHTS, &fixture.handle),
        SessionAction::Abort(_)
    ));
}

proptest! {
    #[test]
    fn arbitrary_operation_gets_well_formed_reply(inner in "(<(get|edit-config|target|running|config|commit|confirmed|lock|filter)( type='(xpath|x)')?( select='[/a-z*]{0,8}')?/?>|</(get|edit-config|target|config|commit|lock)>|[a-z<&]){0,12}") {
        let mut fixture = Fixture::new();
        let mut session = fixture.open_session();
        let message = format!("<rpc xmlns='{BASE_NAMESPACE}' message-id='1'>{inner}</rpc>");
        if let SessionAction::Reply(reply) = session.handle_message(message.as_bytes(), ALL_RIGHTS, &fixture.handle) {
            prop_assert!(xml::parse(&reply, &xml::XmlLimits::default()).is_ok(), "{}", reply);
        }
    }
}
