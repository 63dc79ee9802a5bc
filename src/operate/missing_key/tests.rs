use serde_json::json;

use super::*;

fn file() -> Value {
    let class = json!({"Name": "paid", "Effect": "read_like", "Slo": 1, "Deadline": 2, "Importance": 3});
    json!({"name": "n", "listen": "x", "board": "y", "console": "z", "seed": "1",
        "known": {"rev": 1, "notices": [{"rev": 1, "all": true}]}, "limits": {"sockets": 1},
        "server": [{"id": "a", "weight": 2}, {"id": "b"}],
        "settings": {"Fees": {"Moves": 1}, "Limits": {"AttemptsCap": 4}, "Azs": ["a"],
            "RequestClasses": [class]}})
}

/// Returns the missing key of the file after a change to the value at a path.
fn missing_after(path: &str, change: impl FnOnce(&mut Value)) -> Option<String> {
    let mut new = file();
    change(new.pointer_mut(path).unwrap());
    missing_key(&file(), &new)
}

/// Guards against a key that a new file lacks and that silently switches off what it named: without `board`, a broker
/// once followed no notice board any more and heard of no drain.
#[test]
fn reports_each_key_that_the_new_file_lacks() {
    assert_eq!(missing_key(&file(), &file()), None);
    for (path, key, expected) in [
        ("", "board", "board"),
        ("", "console", "console"),
        ("", "known", "known"),
        ("", "seed", "seed"),
        ("", "limits", "limits"),
        ("", "server", "server"),
        ("", "settings", "settings"),
        ("/limits", "sockets", "limits.sockets"),
        ("/server/0", "weight", "server[0].weight"),
        ("/settings", "Fees", "settings.Fees"),
        ("/settings/Fees", "Moves", "settings.Fees.Moves"),
        ("/settings/Limits", "AttemptsCap", "settings.Limits.AttemptsCap"),
        ("/settings/RequestClasses/0", "Effect", "settings.RequestClasses[0].Effect"),
        ("/settings/RequestClasses/0", "Importance", "settings.RequestClasses[0].Importance"),
    ] {
        let removed = missing_after(path, |object| drop(object.as_object_mut().unwrap().remove(key)));
        assert_eq!(removed.as_deref(), Some(expected));
        let nulled = missing_after(path, |object| object[key] = Value::Null);
        assert_eq!(nulled.as_deref(), Some(expected));
    }
    for path in ["/server", "/settings/Azs", "/settings/RequestClasses"] {
        let emptied = missing_after(path, |list| *list = json!([]));
        assert_eq!(emptied, Some(path[1..].replace('/', ".")));
    }
}

#[test]
fn entries_of_lists_and_events_may_come_and_go() {
    assert_eq!(missing_after("/server", |servers| *servers = json!([{"id": "c"}])), None);
    assert_eq!(missing_after("/known", |known| *known = json!({"notices": []})), None);
    let renamed = |class: &mut Value| {
        *class = json!({"Name": "new", "Effect": "read_like", "Slo": 1, "Deadline": 2});
    };
    assert_eq!(missing_after("/settings/RequestClasses/0", renamed), None);
    let incomplete = |class: &mut Value| *class = json!({"Name": "new", "Slo": 1, "Deadline": 2});
    let expected = Some("settings.RequestClasses[0].Effect".to_owned());
    assert_eq!(missing_after("/settings/RequestClasses/0", incomplete), expected);
}
