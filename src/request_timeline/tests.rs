use super::*;

const LOG_A: &str = r#"
{"at_ms":1000,"event":"E020","name":"StoreLost","reason":"reset"}
  4.1 vm-a {"at_ms":9000,"event":"E045","name":"UpstreamUnfit","upstream":"i-1"}
{"at_ms":9500,"event":"E045","name":"UpstreamUnfit","upstream":"i-9"}
not a log line
{"at_ms":10500,"event":"E101","name":"RequestFailed","id":"r-1","route":"write","organisation":"village","table":7,"proof_age_ms":40,"passed_ms":500,"first_part_ms":80,"longest_pause_ms":300,"attempts":[{"upstream":"i-1","software":"v1","model":"small","requests_there":3,"reading_there_ms":12,"began_ms":0,"ended_ms":500,"confidence":70,"kept":"sure","end":"broken: closed"}],"code":"broken_off","reason":"closed"}
{"at_ms":10600,"event":"E024","name":"KnowledgeStale","proof_age_ms":4000}
"#;

const LOG_B: &str = r#"
{"at_ms":10700,"event":"E044","name":"UpstreamGone","upstream":"i-1","sure":true}
{"at_ms":10700,"event":"E024","name":"KnowledgeStale","proof_age_ms":4000}
{"at_ms":10800,"event":"E100","name":"RequestEnded","id":"r-2","passed_ms":5,"status":200,"attempts":[]}
"#;

fn logs() -> Vec<(String, String)> {
    vec![
        ("vm-a".to_owned(), LOG_A.to_owned()),
        ("vm-b".to_owned(), LOG_B.to_owned()),
    ]
}

#[test]
fn a_failed_request_is_shown_with_related_events() {
    let timeline =
        RequestTimeline::find("r-1", &logs()).expect("the request is logged");
    insta::assert_snapshot!(timeline.to_string(), @r#"
    r-1: route write, organisation village, at vm-a
      decided with configuration 7, proven current 40 ms before
      0 ms: sent to i-1 (software v1, model small; 3 requests there, 12 ms of prefill), confidence 70, kept since: sure; 500 ms: broken: closed
      80 ms: sent the first part; longest pause 300 ms
      500 ms: ended as broken_off, its answer was cut off, and the caller could see it (closed)
    Around that time:
      -1000 ms vm-a E045 UpstreamUnfit upstream="i-1"
      +600 ms vm-a E024 KnowledgeStale proof_age_ms=4000
      +700 ms vm-b E044 UpstreamGone sure=true upstream="i-1"
    "#);
}

#[test]
fn an_unknown_id_has_no_timeline() {
    assert!(RequestTimeline::find("r-9", &logs()).is_none());
    assert!(RequestTimeline::find("r-2", &logs()).is_some());
}
