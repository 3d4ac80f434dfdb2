use super::*;

fn faults(between: &Between) -> Vec<((u32, u64), Fault)> {
    let told = between.links.iter().map(|(link, command)| (*link, *command.borrow()));
    told.filter(|(_, fault)| *fault != Fault::None).collect()
}

fn between(text: &str) -> Between {
    let folder = tempfile::tempdir().unwrap();
    Between::new(&Day::parse("day", text).unwrap(), folder.path()).unwrap().0
}

#[test]
fn a_fault_of_a_member_is_on_its_links_and_one_of_a_keeper_also_on_the_others_to_it() {
    let mut between = between("front-ends 4\nkeepers 3\n");
    let member = between.fault(3, Fault::Cut);
    assert_eq!(faults(&between), [((3, 1), Fault::Cut), ((3, 2), Fault::Cut), ((3, 3), Fault::Cut)]);
    between.heal(member);
    between.fault(0, Fault::Stall);
    let links: Vec<(u32, u64)> = faults(&between).iter().map(|f| f.0).collect();
    assert_eq!(links, [(0, 2), (0, 3), (1, 1), (2, 1), (3, 1)]);
}

#[test]
fn a_link_is_healed_only_when_all_its_faults_have_ended() {
    let mut between = between("front-ends 2\nkeepers 1\n");
    let first = between.fault(1, Fault::Cut);
    let second = between.fault(0, Fault::Stall);
    assert_eq!(faults(&between), [((1, 1), Fault::Stall)]);
    between.heal(second);
    assert_eq!(faults(&between), [((1, 1), Fault::Cut)]);
    between.heal(first);
    assert_eq!(faults(&between), []);
}

#[test]
fn a_folder_is_replaced_by_its_copy_whole() {
    let folder = tempfile::tempdir().unwrap();
    let (store, copy) = (folder.path().join("store"), folder.path().join("copy"));
    std::fs::create_dir_all(store.join("deep")).unwrap();
    std::fs::write(store.join("deep/a"), "old").unwrap();
    replace(&store, &copy).unwrap();
    std::fs::write(store.join("deep/a"), "new").unwrap();
    std::fs::write(store.join("b"), "new").unwrap();
    replace(&copy, &store).unwrap();
    assert_eq!(std::fs::read(store.join("deep/a")).unwrap(), b"old");
    assert!(!store.join("b").exists());
}

#[test]
fn damage_is_in_the_middle_of_the_largest_file_and_keeps_its_length() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("small"), [1; 10]).unwrap();
    std::fs::write(folder.path().join("large"), [1; 20_000]).unwrap();
    damage(folder.path()).unwrap();
    assert_eq!(std::fs::read(folder.path().join("small")).unwrap(), [1; 10]);
    let large = std::fs::read(folder.path().join("large")).unwrap();
    let harmed = large.iter().filter(|b| **b == 0xA5).count();
    assert_eq!((large.len(), harmed, large[0], large[19_999], large[10_000]), (20_000, 4096, 1, 1, 0xA5));
}
