//! Tests for the format of recordings: keys, tags and integer times must match those of earlier recordings.

use shalewall_audit::{Record, read};

/// Lines of a recording: each kind of record, with and without optional keys.
const LINES: [&str; 30] = [
    r#"{"what":"node_up","t":0,"node":1,"places":10.0,"warm":false}"#,
    r#"{"what":"node_up","t":0,"node":1,"places":10.0,"warm":true,"cell":2}"#,
    r#"{"what":"set_up","t":0,"node":1,"director":0,"session":1,"attempt":0,"class":"open","title":"t","rung":1}"#,
    r#"{"what":"node_down","t":5,"node":1,"fell":true}"#,
    r#"{"what":"set_up","t":0,"node":1,"director":0,"session":1,"attempt":0,"tenant":"own","class":"open","title":"t","rung":1}"#,
    r#"{"what":"set_up_done","t":1,"node":1,"session":1,"attempt":0,"ran":"plays"}"#,
    r#"{"what":"set_up_done","t":1,"node":1,"session":1,"attempt":0,"ran":"turned_away"}"#,
    r#"{"what":"set_up_done","t":1,"node":1,"session":1,"attempt":0,"ran":"given"}"#,
    r#"{"what":"set_up_done","t":1,"node":1,"session":1,"attempt":0,"ran":"ended"}"#,
    r#"{"what":"partial","t":1,"node":1,"bytes":30,"session":null,"attempt":null}"#,
    r#"{"what":"partial","t":1,"node":1,"bytes":30,"session":1,"attempt":0}"#,
    r#"{"what":"rung","t":1,"node":1,"session":1,"rung":0}"#,
    r#"{"what":"over","t":1,"node":1,"session":1,"attempt":0}"#,
    r#"{"what":"hand_in","t":1,"node":1,"director":0,"session":1,"attempt":0,"epoch":2,"class":"open","title":"t","rung":1}"#,
    r#"{"what":"hand_in_done","t":1,"node":1,"session":1,"attempt":0,"epoch":2,"ran":"plays"}"#,
    r#"{"what":"fetched","t":1,"node":1,"session":1,"attempt":0,"epoch":2}"#,
    r#"{"what":"froze","t":1,"node":1}"#,
    r#"{"what":"thawed","t":1,"node":1}"#,
    r#"{"what":"load","t":1,"node":1,"link":0.5,"uplink":0.25,"streams":1.0}"#,
    r#"{"what":"told","t":1,"director":0,"node":1,"standing":"ready","came_up":null}"#,
    r#"{"what":"told","t":1,"director":0,"node":1,"standing":"ready","came_up":7}"#,
    r#"{"what":"asked","t":1,"director":0,"ask":1,"key":"v1","class":"open","title":"t","wait":2000000}"#,
    r#"{"what":"answered","t":1,"ask":1,"status":503,"session":null}"#,
    r#"{"what":"unanswered","t":1,"ask":1}"#,
    r#"{"what":"left","t":1,"ask":1}"#,
    r#"{"what":"watched","t":1,"ask":1,"session":1,"micros":5,"got":6,"due":7,"rungs":[[1,2],[3,4]]}"#,
    r#"{"what":"gap","t":1,"ask":1,"session":1,"micros":5}"#,
    r#"{"what":"director_up","t":1,"director":0}"#,
    r#"{"what":"director_killed","t":1,"director":0}"#,
    r#"{"what":"director_stalled","t":1,"director":0,"until":9}"#,
];

#[test]
fn records_keep_their_json_form() {
    for line in LINES {
        let record: Record = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&record).unwrap(), line);
    }
}

#[test]
fn the_start_time_of_a_notification_is_optional() {
    let line = r#"{"what":"told","t":1,"director":0,"node":1,"standing":"gone"}"#;
    let record: Record = serde_json::from_str(line).unwrap();
    let Record::EndpointNotified { node_started, .. } = record else {
        panic!("{record:?}");
    };
    assert_eq!(node_started, None);
}

#[test]
fn incomplete_recordings_are_rejected() {
    let dir = std::env::temp_dir().join(format!("shalewall-hole-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let line = LINES[2];
    std::fs::write(dir.join("a.jsonl"), format!("{line}\n{}", &line[..40])).unwrap();
    let error = read(&dir).unwrap_err().to_string();
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(error.contains("a.jsonl:2"), "{error}");
}
